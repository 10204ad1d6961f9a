package elderseam.gossip.transport;

import elderseam.gossip.Packet;
import elderseam.http.IoLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.function.BiFunction;
import org.xnio.ChannelListeners;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.channels.AcceptingChannel;

/**
 * Connections that carry envelopes, each after its length in four bytes. Eight at once from outside and four from here, eight
 * envelopes each way, and 5 s from first to last: who hangs holds one of eight for so long.
 */
final class StreamTransport implements AutoCloseable {
    /** What is said on a connection. */
    interface Talk {
        /** An envelope came; what it says back goes by {@link Line#send}. */
        void read(Line line, byte[] bytes);
    }

    private static final int INBOUND = 8, OUTBOUND = 4, ENVELOPES = 8;
    private static final long WHOLE_NS = 5_000_000_000L;
    private static final OptionMap OPTIONS = OptionMap.builder()
            .set(Options.TCP_NODELAY, true)
            .set(Options.REUSE_ADDRESSES, true)
            .set(Options.BACKLOG, 16)
            .getMap();

    private final IoLoop io;
    private final Talk talk;
    private final AcceptingChannel<StreamConnection> server;
    private final InetSocketAddress from; // others know this instance by its address
    private int inbound, outbound;
    private long refused, failed;

    StreamTransport(IoLoop io, InetSocketAddress at, Talk talk) throws IOException {
        this.io = io;
        this.talk = talk;
        this.server = io.worker()
                .createStreamConnectionServer(at, ChannelListeners.openListenerAdapter(this::accepted), OPTIONS);
        server.resumeAccepts();
        this.from = new InetSocketAddress(at.getAddress(), 0);
    }

    InetSocketAddress local() {
        return server.getLocalAddress(InetSocketAddress.class);
    }

    private void accepted(StreamConnection channel) {
        if (inbound >= INBOUND) {
            refused++;
            IoUtils.safeClose(channel);
            return;
        }
        inbound++;
        new Line(channel, true, io.clock.now() + WHOLE_NS, "", null).begin();
    }

    /** Connects and sends; {@code to}: whom the envelope is for, "" where that is not known; {@code body}: what it holds. */
    void open(InetSocketAddress at, String to, byte[] body, BiFunction<String, byte[], byte[]> seal) {
        if (outbound >= OUTBOUND) {
            refused++;
            return;
        }
        outbound++;
        long by = io.clock.now() + WHOLE_NS;
        boolean[] over = new boolean[1];
        IoFuture<StreamConnection> connecting = io.thread()
                .openStreamConnection(
                        from,
                        at,
                        channel -> {
                            if (over[0]) {
                                IoUtils.safeClose(channel);
                                return;
                            }
                            over[0] = true;
                            Line line = new Line(channel, false, by, to, body);
                            line.begin();
                            line.send(seal.apply(to, body));
                        },
                        null,
                        OPTIONS);
        Runnable gone = () -> {
            if (!over[0]) {
                over[0] = true;
                outbound--;
                failed++;
            }
        };
        connecting.addNotifier(
                (future, none) -> {
                    if (future.getStatus() != IoFuture.Status.DONE) {
                        io.run(gone);
                    }
                },
                null);
        io.at(by, () -> {
            connecting.cancel();
            gone.run();
        });
    }

    /** Connections that were not taken, and own ones that came to nothing. */
    long refused() {
        return refused;
    }

    long failed() {
        return failed;
    }

    @Override
    public void close() {
        IoUtils.safeClose(server);
    }

    /** One connection. */
    final class Line {
        private final StreamConnection channel;
        private final boolean in;
        private final long by;
        private final InetSocketAddress peer;
        final String to; // whom an own one is for, "" where not known
        final byte[] body; // what an own one came to say
        byte[] owes; // what this side answered last, until it is known to have opened
        private final ByteBuffer head = ByteBuffer.allocate(4);
        private ByteBuffer reading;
        private final ArrayDeque<ByteBuffer> writing = new ArrayDeque<>();
        private int read, sent;
        private boolean closed, last;

        private Line(StreamConnection channel, boolean in, long by, String to, byte[] body) {
            this.channel = channel;
            this.in = in;
            this.by = by;
            this.to = to;
            this.body = body;
            this.peer = channel.getPeerAddress(InetSocketAddress.class);
        }

        InetSocketAddress peer() {
            return peer;
        }

        private void begin() {
            channel.getSourceChannel().getReadSetter().set(c -> readable());
            channel.getSinkChannel().getWriteSetter().set(c -> writable());
            channel.getSourceChannel().resumeReads();
            io.at(by, this::close);
        }

        private void readable() {
            try {
                while (!closed) {
                    ByteBuffer into = reading == null ? head : reading;
                    int n = channel.getSourceChannel().read(into);
                    if (n == 0) {
                        return;
                    }
                    if (n < 0) {
                        close();
                        return;
                    }
                    if (into.hasRemaining()) {
                        continue;
                    }
                    if (reading == null) {
                        int length = head.flip().getInt();
                        head.clear();
                        if (length < 1 || length > Packet.STATE || ++read > ENVELOPES) {
                            close();
                            return;
                        }
                        reading = ByteBuffer.allocate(length); // eight at once, so 2 MB at most
                    } else {
                        byte[] whole = reading.array();
                        reading = null;
                        talk.read(this, whole);
                    }
                }
            } catch (IOException e) {
                close();
            }
        }

        void send(byte[] bytes) {
            if (closed || ++sent > ENVELOPES) {
                return;
            }
            writing.add(ByteBuffer.allocate(4).putInt(bytes.length).flip());
            writing.add(ByteBuffer.wrap(bytes));
            writable();
        }

        /** Ends once all that was sent has gone out. */
        void end() {
            last = true;
            writable();
        }

        private void writable() {
            try {
                while (!writing.isEmpty() && !closed) {
                    ByteBuffer b = writing.peek();
                    if (channel.getSinkChannel().write(b) == 0 && b.hasRemaining()) {
                        channel.getSinkChannel().resumeWrites();
                        return;
                    }
                    if (!b.hasRemaining()) {
                        writing.poll();
                    }
                }
                channel.getSinkChannel().suspendWrites();
                if (last) {
                    close();
                }
            } catch (IOException e) {
                close();
            }
        }

        private void close() {
            if (!closed) {
                closed = true;
                if (in) {
                    inbound--;
                } else {
                    outbound--;
                }
                IoUtils.safeClose(channel);
            }
        }
    }
}
