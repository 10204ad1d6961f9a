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
 * The TCP connections for full state exchanges: at most eight inbound and four outbound at a time. Each is closed after
 * at most 5 s, so that an unresponsive peer does not occupy one for longer. Confined to the I/O thread.
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
    private final InetSocketAddress sourceAddress; // the roster allows only this address; port 0 means any
    private int inboundCount;
    private int outboundCount;
    private long refusedConnections;

    /** Binds the socket and starts to accept connections. */
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
        if (inboundCount >= MAX_INBOUND) {
            refusedConnections++;
            IoUtils.safeClose(channel);
            return;
        }
        inboundCount++;
        new FramedConnection(channel, null, handler, () -> inboundCount--)
                .start(io, io.clock.now() + EXCHANGE_TIMEOUT_NS);
    }

    /**
     * Connects to a member and sends a frame; does nothing if too many outbound connections are open.
     *
     * @param body the body to send again if the member answers with a hello
     * @param envelopeFactory creates the first frame, an envelope with that body, once the connection is established
     */
    void connect(InetSocketAddress address, byte[] body, Supplier<byte[]> envelopeFactory) {
        if (outboundCount >= MAX_OUTBOUND) {
            refusedConnections++;
            return;
        }
        outboundCount++;
        new ConnectAttempt(body, envelopeFactory).start(address);
    }

    /** Returns how many inbound and outbound connections were refused because too many were open. */
    long refusedConnections() {
        return refusedConnections;
    }

    @Override
    public void close() {
        IoUtils.safeClose(server);
    }

    /** One attempt to connect. It completes exactly once: with a connection, with a failure, or at the deadline. */
    private final class ConnectAttempt {
        private final byte[] body;
        private final Supplier<byte[]> envelopeFactory;
        private final long deadlineNs = io.clock.now() + EXCHANGE_TIMEOUT_NS;
        private boolean isCompleted;

        ConnectAttempt(byte[] body, Supplier<byte[]> envelopeFactory) {
            this.body = body;
            this.envelopeFactory = envelopeFactory;
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
            if (isCompleted) {
                IoUtils.safeClose(channel);
                return;
            }
            isCompleted = true;
            FramedConnection connection = new FramedConnection(channel, body, handler, () -> outboundCount--);
            connection.start(io, deadlineNs);
            connection.send(envelopeFactory.get());
        }

        private void failed() {
            if (!isCompleted) {
                isCompleted = true;
                outboundCount--;
            }
        }
    }
}
