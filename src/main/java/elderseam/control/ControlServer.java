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
 * Listens on the second address: one line a connection, one answer, and it is closed. Lines, connections and the time that one
 * may stay open are bounded; a caller that stalls is a buffer and a timer on the I/O thread, and delays nobody.
 */
public final class ControlServer {
    private static final EventLogger LOG = EventLogger.of(ControlServer.class);

    private static final int MOST_OPEN = 24; // then the oldest gives way
    private static final long OPEN_NS = 6_000 * Clock.MS; // for the line to be there, and the answer taken

    private final IoLoop io;
    private final AcceptingChannel<StreamConnection> accepting;
    private final ByteBuffer buffer = ByteBuffer.allocate(OperatorCommand.MOST + 2);
    private final Set<Caller> open = new LinkedHashSet<>(); // oldest first
    private Function<OperatorCommand, CommandResult> handler = c -> CommandResult.no("starting");

    public ControlServer(IoLoop io, InetSocketAddress address) throws IOException {
        this.io = io;
        ChannelListener<StreamConnection> opened = Caller::new;
        accepting = io.worker()
                .createStreamConnectionServer(
                        address,
                        ChannelListeners.openListenerAdapter(opened),
                        OptionMap.builder()
                                .set(Options.REUSE_ADDRESSES, true)
                                .set(Options.TCP_NODELAY, true)
                                .set(Options.BACKLOG, 64)
                                .getMap());
        accepting.resumeAccepts();
    }

    public InetSocketAddress address() {
        return accepting.getLocalAddress(InetSocketAddress.class);
    }

    /** Who carries commands out from now on; before the first, each is answered that the process starts. */
    public void handler(Function<OperatorCommand, CommandResult> handler) {
        this.handler = handler;
    }

    /** One connection; its line so far is held as text, since the buffer is shared by all. */
    private final class Caller {
        private final StreamConnection channel;
        private final XnioExecutor.Key timer;
        private final StringBuilder line = new StringBuilder(32);
        private ByteBuffer answer; // once there is one, what comes is passed over

        Caller(StreamConnection channel) {
            this.channel = channel;
            if (open.size() >= MOST_OPEN) {
                open.iterator().next().close();
            }
            open.add(this);
            timer = io.schedule(io.clock.now() + OPEN_NS, this::expired);
            channel.getSourceChannel().setReadListener(c -> read());
            channel.getSinkChannel().setWriteListener(c -> write());
            channel.getSourceChannel().resumeReads();
            read();
        }

        private void read() {
            try {
                int n;
                for (buffer.clear(); (n = channel.getSourceChannel().read(buffer)) > 0; buffer.clear()) {
                    take();
                }
                if (n < 0 && answer == null) {
                    answer(CommandResult.no("the line has no end"));
                } else if (n < 0) {
                    close();
                }
            } catch (IOException e) {
                close();
            }
        }

        private void take() {
            for (int i = 0; answer == null && i < buffer.position(); i++) {
                char c = (char) (buffer.get(i) & 0xff);
                if (c == '\n') {
                    carryOut(OperatorCommand.of(line.toString()));
                } else if (line.length() == OperatorCommand.MOST) {
                    answer(CommandResult.no("the line is longer than " + OperatorCommand.MOST + " bytes"));
                } else {
                    line.append(c);
                }
            }
        }

        private void carryOut(OperatorCommand command) {
            CommandResult verdict;
            try {
                verdict = handler.apply(command);
            } catch (RuntimeException e) { // one caller's fault must not reach the thread
                LOG.error("control.command_failed", e);
                verdict = CommandResult.no("a fault of this program; its log has it");
            }
            answer(verdict);
        }

        private void answer(CommandResult verdict) {
            answer = ByteBuffer.wrap(verdict.encoded().getBytes(StandardCharsets.ISO_8859_1));
            write();
        }

        /** All of the answer, then the end of the sending; the caller's own end closes the connection. */
        private void write() {
            try {
                while (answer.hasRemaining()) {
                    if (channel.getSinkChannel().write(answer) == 0) {
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

        private void expired() {
            if (answer == null) {
                answer(CommandResult.no("no whole line came within " + OPEN_NS / 1_000 / Clock.MS + " s"));
            }
            close();
        }

        private void close() {
            timer.remove();
            open.remove(this);
            IoUtils.safeClose(channel);
        }
    }
}
