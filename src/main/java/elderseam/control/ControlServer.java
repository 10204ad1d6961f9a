package elderseam.control;

import elderseam.core.Clock;
import elderseam.http.IoLoop;
import elderseam.logging.EventLogger;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Function;
import org.xnio.ChannelListener;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import org.xnio.channels.AcceptingChannel;

/**
 * Listens on the control address: one line and one response per connection, which is then closed. The line's length, the
 * number of connections and the time that one may stay open are bounded; a client that stalls costs a buffer and a timer,
 * and delays nobody. Confined to the I/O thread, except the constructor.
 */
public final class ControlServer {
    private static final EventLogger LOG = EventLogger.of(ControlServer.class);

    /** With one more, the oldest connection is closed. */
    private static final int MAX_CONNECTIONS = 24;

    /** Within this time the line must arrive and the response be read. */
    private static final long CONNECTION_LIFETIME_NS = 6_000 * Clock.MILLISECOND_NS;

    private static final long NS_PER_S = 1_000 * Clock.MILLISECOND_NS;
    private static final int ACCEPT_BACKLOG = 64;
    private static final int EXPECTED_LINE_LENGTH = 32;

    private final IoLoop io;
    private final AcceptingChannel<StreamConnection> acceptingChannel;
    private final ByteBuffer readBuffer = ByteBuffer.allocate(OperatorCommandParser.MAX_LINE_BYTES + 2);
    private final Set<Connection> connections = new LinkedHashSet<>(); // oldest first
    private Function<OperatorCommand, CommandResult> handler = command -> CommandResult.rejected("starting");

    /**
     * Begins to listen. Until {@link #handler} is called, each command is answered that the process is starting.
     *
     * @throws IOException if the address can't be used
     */
    public ControlServer(IoLoop io, InetSocketAddress address) throws IOException {
        this.io = io;
        ChannelListener<StreamConnection> onConnected = Connection::new;
        OptionMap options = OptionMap.builder()
                .set(Options.REUSE_ADDRESSES, true)
                .set(Options.TCP_NODELAY, true)
                .set(Options.BACKLOG, ACCEPT_BACKLOG)
                .getMap();
        acceptingChannel = io.worker()
                .createStreamConnectionServer(address, ChannelListeners.openListenerAdapter(onConnected), options);
        acceptingChannel.resumeAccepts();
    }

    /** The address that is listened on, with the port that was bound. */
    public InetSocketAddress address() {
        return acceptingChannel.getLocalAddress(InetSocketAddress.class);
    }

    /** Sets what executes commands from now on. It must not block. */
    public void handler(Function<OperatorCommand, CommandResult> handler) {
        this.handler = handler;
    }

    /** One client. Its line so far is kept as text, since all connections share the buffer. */
    private final class Connection {
        private final StreamConnection channel;
        private final XnioExecutor.Key lifetimeTimer;
        private final StringBuilder line = new StringBuilder(EXPECTED_LINE_LENGTH);
        private ByteBuffer response; // null until the line is complete; after that input is discarded

        Connection(StreamConnection channel) {
            this.channel = channel;
            if (connections.size() >= MAX_CONNECTIONS) {
                connections.iterator().next().close();
            }
            connections.add(this);
            lifetimeTimer = io.schedule(io.clock.now() + CONNECTION_LIFETIME_NS, this::expire);
            channel.getSourceChannel().setReadListener(source -> read());
            channel.getSinkChannel().setWriteListener(sink -> write());
            channel.getSourceChannel().resumeReads();
            read();
        }

        private void read() {
            try {
                int count;
                for (readBuffer.clear();
                        (count = channel.getSourceChannel().read(readBuffer)) > 0;
                        readBuffer.clear()) {
                    appendToLine();
                }
                if (count < 0 && response == null) {
                    respond(CommandResult.rejected("the line has no end"));
                } else if (count < 0) {
                    close();
                }
            } catch (IOException e) {
                close();
            }
        }

        private void appendToLine() {
            for (int i = 0; response == null && i < readBuffer.position(); i++) {
                char character = (char) (readBuffer.get(i) & 0xff);
                if (character == '\n') {
                    execute(OperatorCommandParser.parse(line.toString()));
                } else if (line.length() == OperatorCommandParser.MAX_LINE_BYTES) {
                    respond(CommandResult.rejected(
                            "the line is longer than " + OperatorCommandParser.MAX_LINE_BYTES + " bytes"));
                } else {
                    line.append(character);
                }
            }
        }

        private void execute(OperatorCommand command) {
            CommandResult result;
            try {
                result = handler.apply(command);
            } catch (RuntimeException e) { // a fault in one command must not end the I/O thread
                LOG.error("control.command_failed", e);
                result = CommandResult.rejected("a fault of this program; its log has it");
            }
            respond(result);
        }

        private void respond(CommandResult result) {
            response = ByteBuffer.wrap(result.encoded().getBytes(StandardCharsets.ISO_8859_1));
            write();
        }

        /** Writes the response and shuts the output down; the client's end of stream closes the connection. */
        private void write() {
            try {
                while (response.hasRemaining()) {
                    if (channel.getSinkChannel().write(response) == 0) {
                        channel.getSinkChannel().resumeWrites();
                        return;
                    }
                }
                channel.getSinkChannel().suspendWrites();
                channel.getSinkChannel().shutdownWrites();
                channel.getSinkChannel().flush();
            } catch (IOException e) {
                close();
            }
        }

        private void expire() {
            if (response == null) {
                respond(CommandResult.rejected(
                        "no whole line came within " + CONNECTION_LIFETIME_NS / NS_PER_S + " s"));
            }
            close();
        }

        private void close() {
            lifetimeTimer.remove();
            connections.remove(this);
            IoUtils.safeClose(channel);
        }
    }
}
