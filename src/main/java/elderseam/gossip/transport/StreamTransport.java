package elderseam.gossip.transport;

import elderseam.http.IoLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.xnio.ChannelListeners;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.channels.AcceptingChannel;

/**
 * The connections for full state exchanges: eight at once from others and four to others, each for 5 s at most, so that a peer
 * that hangs holds one of them no longer. Confined to the I/O thread.
 */
final class StreamTransport implements AutoCloseable {
    private static final int MAX_INBOUND = 8;
    private static final int MAX_OUTBOUND = 4;
    private static final int LISTEN_BACKLOG = 16;
    private static final long EXCHANGE_TIMEOUT_NS = TimeUnit.SECONDS.toNanos(5);
    private static final OptionMap OPTIONS = OptionMap.builder()
            .set(Options.TCP_NODELAY, true)
            .set(Options.REUSE_ADDRESSES, true)
            .set(Options.BACKLOG, LISTEN_BACKLOG)
            .getMap();

    private final IoLoop io;
    private final FramedConnection.Handler handler;
    private final AcceptingChannel<StreamConnection> server;
    private final InetSocketAddress sourceAddress; // the roster has the address that this member connects from
    private int inbound;
    private int outbound;
    private long refusedConnections;

    /** Binds the socket, and begins to accept. */
    StreamTransport(IoLoop io, InetSocketAddress listenAddress, FramedConnection.Handler handler) throws IOException {
        this.io = io;
        this.handler = handler;
        this.server = io.worker()
                .createStreamConnectionServer(
                        listenAddress, ChannelListeners.openListenerAdapter(this::accepted), OPTIONS);
        server.resumeAccepts();
        this.sourceAddress = new InetSocketAddress(listenAddress.getAddress(), 0);
    }

    InetSocketAddress localAddress() {
        return server.getLocalAddress(InetSocketAddress.class);
    }

    private void accepted(StreamConnection channel) {
        if (inbound >= MAX_INBOUND) {
            refusedConnections++;
            IoUtils.safeClose(channel);
            return;
        }
        inbound++;
        new FramedConnection(channel, null, handler, () -> inbound--).start(io, io.clock.now() + EXCHANGE_TIMEOUT_NS);
    }

    /**
     * Connects to a member and sends a frame, unless too many connections are open.
     *
     * @param body what is sent again if the member did not know this one's token
     * @param envelope makes the first frame, which has the body, once there is a connection
     */
    void connect(InetSocketAddress address, byte[] body, Supplier<byte[]> envelope) {
        if (outbound >= MAX_OUTBOUND) {
            refusedConnections++;
            return;
        }
        outbound++;
        new ConnectAttempt(body, envelope).start(address);
    }

    /** Returns how many connections were not accepted, or not made, because too many were open. */
    long refusedConnections() {
        return refusedConnections;
    }

    @Override
    public void close() {
        IoUtils.safeClose(server);
    }

    /** One connect, which ends once: with a connection, with a failure, or at the deadline. */
    private final class ConnectAttempt {
        private final byte[] body;
        private final Supplier<byte[]> envelope;
        private final long deadlineNs = io.clock.now() + EXCHANGE_TIMEOUT_NS;
        private boolean isOver;

        ConnectAttempt(byte[] body, Supplier<byte[]> envelope) {
            this.body = body;
            this.envelope = envelope;
        }

        void start(InetSocketAddress address) {
            IoFuture<StreamConnection> connecting =
                    io.thread().openStreamConnection(sourceAddress, address, this::connected, null, OPTIONS);
            connecting.addNotifier(
                    (future, attachment) -> {
                        if (future.getStatus() != IoFuture.Status.DONE) {
                            io.run(this::failed);
                        }
                    },
                    null);
            io.at(deadlineNs, () -> {
                connecting.cancel();
                failed();
            });
        }

        private void connected(StreamConnection channel) {
            if (isOver) {
                IoUtils.safeClose(channel);
                return;
            }
            isOver = true;
            FramedConnection connection = new FramedConnection(channel, body, handler, () -> outbound--);
            connection.start(io, deadlineNs);
            connection.send(envelope.get());
        }

        private void failed() {
            if (!isOver) {
                isOver = true;
                outbound--;
            }
        }
    }
}
