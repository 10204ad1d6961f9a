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
 * A TCP connection that carries frames, each preceded by its length in four bytes. It is closed at its deadline, or
 * when a ninth frame or an invalid length arrives; at most eight frames are sent. Confined to the I/O thread.
 */
final class FramedConnection {
    /** Handles frames received on connections. */
    interface Handler {
        /** Called for each received frame; answers are sent with {@link #send}. */
        void received(FramedConnection connection, byte[] frame);
    }

    private static final int MAX_FRAMES = 8; // in each direction

    private final StreamConnection channel;
    private final Handler handler;
    private final Runnable onClose;
    private final InetSocketAddress peerAddress;
    private final ByteBuffer lengthPrefix = ByteBuffer.allocate(Integer.BYTES);
    private final Queue<ByteBuffer> unsentBuffers = new ArrayDeque<>();
    private ByteBuffer frame; // the frame being read, null while its length is read
    private int framesRead;
    private int framesSent;
    private boolean isClosed;
    private boolean closesWhenSent;
    private byte[] resendBody;

    /**
     * @param resendBody see {@link #resendBody()}; null for none
     * @param onClose run once, when the connection is closed
     */
    FramedConnection(StreamConnection channel, byte[] resendBody, Handler handler, Runnable onClose) {
        this.channel = channel;
        this.resendBody = resendBody;
        this.handler = handler;
        this.onClose = onClose;
        this.peerAddress = channel.getPeerAddress(InetSocketAddress.class);
    }

    /** Starts to read, and schedules the close of the connection at the deadline. */
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
     * Returns the body to sign and send again after the peer has answered with a hello because the envelope lacked its
     * token: the last answer, or the body for which this member opened the connection. Null if there is none.
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
                    bufferFilled();
                }
            }
        } catch (IOException e) {
            close();
        }
    }

    private void bufferFilled() {
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

    /** Sends a frame; does nothing if the connection is closed or has sent the maximum number of frames. */
    void send(byte[] bytes) {
        if (isClosed || framesSent >= MAX_FRAMES) {
            return;
        }
        framesSent++;
        unsentBuffers.add(
                ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).flip());
        unsentBuffers.add(ByteBuffer.wrap(bytes));
        write();
    }

    /** Closes the connection as soon as all frames passed to {@link #send} are written. */
    void closeWhenSent() {
        closesWhenSent = true;
        write();
    }

    private void write() {
        try {
            while (!unsentBuffers.isEmpty() && !isClosed) {
                ByteBuffer next = unsentBuffers.peek();
                if (channel.getSinkChannel().write(next) == 0 && next.hasRemaining()) {
                    channel.getSinkChannel().resumeWrites();
                    return;
                }
                if (!next.hasRemaining()) {
                    unsentBuffers.poll();
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
