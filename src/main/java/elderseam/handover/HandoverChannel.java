package elderseam.handover;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.Channels;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/**
 * A connection between two processes of one dispatcher, over a Unix domain socket in the state directory that they
 * share. XNIO has no such sockets, so each channel has a thread that writes, and one that reads where {@link
 * #startReceiving} is used; both are daemons. {@link #send} never blocks and may be called from the I/O thread.
 *
 * <p>Each frame goes as a four-byte length and the bytes of {@link HandoverFrameCodec}. Any error closes the channel,
 * and the receiver sees its end; no error is reported otherwise.
 */
public final class HandoverChannel implements Closeable {
    private static final String SOCKET_FILE = "handover";

    /** The longest path of a Unix domain socket that the kernel takes, in bytes. */
    private static final int MAX_SOCKET_PATH_BYTES = 107;

    /** Frames that wait to be written; a channel that falls further behind is closed. */
    private static final int MAX_QUEUED_FRAMES = 8_192;

    private static final int THREAD_STACK_BYTES = 128 << 10;

    private final SocketChannel socket;
    private final DataInputStream in;
    private final AtomicInteger unwrittenFrames = new AtomicInteger();

    /** Frames to be written; an empty entry ends the writing thread. */
    private final BlockingQueue<Optional<HandoverFrame>> outgoing = new LinkedBlockingQueue<>(MAX_QUEUED_FRAMES);

    HandoverChannel(SocketChannel socket) {
        this.socket = socket;
        this.in = new DataInputStream(new BufferedInputStream(Channels.newInputStream(socket)));
        startThread("handover-writer", this::writeQueuedFrames);
    }

    /** Whether a socket is possible in this directory: the kernel bounds the length of its path. */
    public static boolean isSupported(Path stateDirectory) {
        String path = socketAddress(stateDirectory).getPath().toString();
        return path.getBytes(StandardCharsets.UTF_8).length <= MAX_SOCKET_PATH_BYTES;
    }

    /** A channel to the process that owns the directory; empty where none answers, as after the death of an owner. */
    public static Optional<HandoverChannel> connect(Path stateDirectory) {
        if (!isSupported(stateDirectory) || !Files.exists(stateDirectory.resolve(SOCKET_FILE))) {
            return Optional.empty();
        }
        try {
            return Optional.of(new HandoverChannel(SocketChannel.open(socketAddress(stateDirectory))));
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    static UnixDomainSocketAddress socketAddress(Path stateDirectory) {
        return UnixDomainSocketAddress.of(stateDirectory.resolve(SOCKET_FILE));
    }

    static void startThread(String name, Runnable task) {
        Thread thread = new Thread(null, task, name, THREAD_STACK_BYTES);
        thread.setDaemon(true);
        thread.start();
    }

    /** Waits for the next frame; empty once the channel has ended. Blocks: not for the I/O thread. */
    public Optional<HandoverFrame> receive() {
        try {
            return Optional.of(readFrame());
        } catch (IOException e) {
            close();
            return Optional.empty();
        }
    }

    private HandoverFrame readFrame() throws IOException {
        int length = in.readInt();
        if (length <= 0 || length > HandoverFrameCodec.MAX_FRAME_BYTES) {
            throw new HandoverProtocolException("a frame of " + length + " bytes");
        }
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new HandoverProtocolException("a frame that stops short");
        }
        return HandoverFrameCodec.decode(bytes);
    }

    /** Delivers each frame as it comes, then reports the outcome. On the calling thread, which it blocks until then. */
    public void receiveAll(Consumer<HandoverFrame> onFrame, Runnable onClosed) {
        try {
            Optional<HandoverFrame> frame = receive();
            while (frame.isPresent()) {
                onFrame.accept(frame.get());
                frame = receive();
            }
        } finally { // a frame that can't be handled ends the channel, and both sides learn of it
            close();
            onClosed.run();
        }
    }

    /** As {@link #receiveAll}, on a thread of its own. */
    public void startReceiving(Consumer<HandoverFrame> onFrame, Runnable onClosed) {
        startThread("handover-reader", () -> receiveAll(onFrame, onClosed));
    }

    /** Queues a frame to be written soon. Never blocks; a full queue closes the channel. */
    public void send(HandoverFrame frame) {
        unwrittenFrames.incrementAndGet();
        if (!outgoing.offer(Optional.of(frame))) {
            close();
        }
    }

    /** Whether every frame that was sent is written. */
    public boolean isFlushed() {
        return unwrittenFrames.get() == 0;
    }

    private void writeQueuedFrames() {
        try {
            Optional<HandoverFrame> frame = outgoing.take();
            while (frame.isPresent()) {
                writeFrame(frame.get());
                unwrittenFrames.decrementAndGet();
                frame = outgoing.take();
            }
        } catch (IOException e) {
            close();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void writeFrame(HandoverFrame frame) throws IOException {
        byte[] bytes = HandoverFrameCodec.encode(frame);
        ByteBuffer buffer = ByteBuffer.allocate(Integer.BYTES + bytes.length);
        buffer.putInt(bytes.length).put(bytes).flip();
        while (buffer.hasRemaining()) {
            socket.write(buffer);
        }
    }

    /** Closes the connection and ends its threads; frames that are not written yet are dropped. May be called again. */
    @Override
    public void close() {
        outgoing.clear();
        unwrittenFrames.set(0);
        outgoing.offer(Optional.empty());
        try {
            socket.close();
        } catch (IOException e) {
            // There is nothing left to do for a connection that can't even be closed.
        }
    }
}
