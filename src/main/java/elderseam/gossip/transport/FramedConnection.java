package elderseam.gossip.transport;

import elderseam.gossip.Packet;
import elderseam.http.IoLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Queue;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;

/**
 * A connection that carries frames, each after its length in four bytes. Ends at its deadline, and after eight frames each way.
 * Confined to the I/O thread.
 */
final class FramedConnection {
    /** Receives the frames of connections. */
    interface Handler {
        /** A frame arrived; an answer goes by {@link #send}. */
        void received(FramedConnection connection, byte[] frame);
    }

    private static final int MAX_FRAMES = 8; // each way

    private final StreamConnection channel;
    private final Handler handler;
    private final Runnable onClose;
    private final InetSocketAddress peerAddress;
    private final ByteBuffer lengthPrefix = ByteBuffer.allocate(Integer.BYTES);
    private final Queue<ByteBuffer> unsent = new ArrayDeque<>();
    private ByteBuffer frame; // the one that is being read, null before its length is known
    private int framesRead;
    private int framesSent;
    private boolean isClosed;
    private boolean closesWhenSent;
    private byte[] resendBody;

    /** {@code resendBody}: see {@link #resendBody()}; null for none. {@code onClose}: run once, at the end. */
    FramedConnection(StreamConnection channel, byte[] resendBody, Handler handler, Runnable onClose) {
        this.channel = channel;
        this.resendBody = resendBody;
        this.handler = handler;
        this.onClose = onClose;
        this.peerAddress = channel.getPeerAddress(InetSocketAddress.class);
    }

    /** Begins to read, and closes the connection at the deadline. */
    void start(IoLoop io, long deadlineNs) {
        channel.getSourceChannel().getReadSetter().set(readable -> read());
        channel.getSinkChannel().getWriteSetter().set(writable -> write());
        channel.getSourceChannel().resumeReads();
        io.at(deadlineNs, this::close);
    }

    InetSocketAddress peerAddress() {
        return peerAddress;
    }

    /**
     * Returns the body to be signed and sent again if the peer did not know this member's token: the last answer, or what an
     * own connection was opened for; null if there is none.
     */
    byte[] resendBody() {
        return resendBody;
    }

    void setResendBody(byte[] body) {
        resendBody = body;
    }

    // ---------------------------------------------------------------- reading

    private void read() {
        try {
            while (!isClosed) {
                ByteBuffer target = frame == null ? lengthPrefix : frame;
                int bytesRead = channel.getSourceChannel().read(target);
                if (bytesRead == 0) {
                    return;
                }
                if (bytesRead < 0) {
                    close();
                } else if (!target.hasRemaining()) {
                    targetFilled();
                }
            }
        } catch (IOException e) {
            close();
        }
    }

    private void targetFilled() {
        if (frame == null) {
            beginFrame();
        } else {
            byte[] bytes = frame.array();
            frame = null;
            handler.received(this, bytes);
        }
    }

    private void beginFrame() {
        int length = lengthPrefix.flip().getInt();
        lengthPrefix.clear();
        if (length < 1 || length > Packet.MAX_FULL_STATE_BYTES || framesRead >= MAX_FRAMES) {
            close();
            return;
        }
        framesRead++;
        frame = ByteBuffer.allocate(length);
    }

    // ---------------------------------------------------------------- writing

    /** Sends a frame, unless the connection has ended or has sent all that it may. */
    void send(byte[] bytes) {
        if (isClosed || framesSent >= MAX_FRAMES) {
            return;
        }
        framesSent++;
        unsent.add(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).flip());
        unsent.add(ByteBuffer.wrap(bytes));
        write();
    }

    /** Closes the connection as soon as all that was sent is written. */
    void closeWhenSent() {
        closesWhenSent = true;
        write();
    }

    private void write() {
        try {
            while (!unsent.isEmpty() && !isClosed) {
                ByteBuffer next = unsent.peek();
                if (channel.getSinkChannel().write(next) == 0 && next.hasRemaining()) {
                    channel.getSinkChannel().resumeWrites();
                    return;
                }
                if (!next.hasRemaining()) {
                    unsent.poll();
                }
            }
            channel.getSinkChannel().suspendWrites();
            if (closesWhenSent) {
                close();
            }
        } catch (IOException e) {
            close();
        }
    }

    private void close() {
        if (!isClosed) {
            isClosed = true;
            onClose.run();
            IoUtils.safeClose(channel);
        }
    }
}
