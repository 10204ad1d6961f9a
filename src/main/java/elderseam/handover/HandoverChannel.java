package elderseam.handover;

import java.io.BufferedInputStream;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.Channels;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/**
 * One connection between two processes of a dispatcher, over a Unix domain socket in the folder that both have. XNIO has no such
 * sockets, so two threads of its own block on it, one for each way, and hand frames over; the I/O thread never waits for it.
 */
public final class HandoverChannel {
    private static final String NAME = "handover";
    private static final int MOST_WAITING = 8_192; // frames to be written; a link that is so far behind is ended
    private static final HandoverFrame END = new HandoverFrame.Take(); // ends the writing thread; compared by identity

    private final SocketChannel channel;
    private final DataInputStream in;
    private final AtomicInteger unwritten = new AtomicInteger();
    private final BlockingQueue<HandoverFrame> waiting = new LinkedBlockingQueue<>(MOST_WAITING);

    private HandoverChannel(SocketChannel channel) {
        this.channel = channel;
        this.in = new DataInputStream(new BufferedInputStream(Channels.newInputStream(channel)));
        thread("link out", this::write);
    }

    private static UnixDomainSocketAddress address(Path folder) {
        return UnixDomainSocketAddress.of(folder.resolve(NAME));
    }

    /** Whether the folder's path is short enough for a socket there: the kernel takes 107 bytes. */
    public static boolean possible(Path folder) {
        return address(folder).getPath().toString().getBytes(java.nio.charset.StandardCharsets.UTF_8).length <= 107;
    }

    /** To the process that owns the folder, or null where none answers; what a dead one left is nothing. */
    public static HandoverChannel connect(Path folder) {
        if (!Files.exists(folder.resolve(NAME))) {
            return null;
        }
        try {
            return new HandoverChannel(SocketChannel.open(address(folder)));
        } catch (IOException e) {
            return null;
        }
    }

    /** Takes one link after the other, on a thread of its own; each is handed over, and the next taken once it has ended. */
    public static ServerSocketChannel listen(Path folder, Consumer<HandoverChannel> opened) throws IOException {
        Files.deleteIfExists(
                address(folder).getPath()); // the lock is held: it is of a dead process, or of one that has given
        ServerSocketChannel server = ServerSocketChannel.open(StandardProtocolFamily.UNIX);
        server.bind(address(folder));
        Files.setPosixFilePermissions(address(folder).getPath(), PosixFilePermissions.fromString("rw-------"));
        thread("links", () -> {
            try {
                while (true) {
                    opened.accept(new HandoverChannel(server.accept()));
                }
            } catch (IOException e) {
                // closed: the folder is another's now
            }
        });
        return server;
    }

    private static void thread(String name, Runnable work) {
        Thread t = new Thread(null, work, name, 128 << 10);
        t.setDaemon(true);
        t.start();
    }

    /** The next frame, awaited, or null at the link's end. Not for the I/O thread. */
    public HandoverFrame await() {
        try {
            return next();
        } catch (IOException | RuntimeException e) { // whatever is wrong with it ends it
            close();
            return null;
        }
    }

    private HandoverFrame next() throws IOException {
        int length = in.readInt();
        if (length <= 0 || length > HandoverFrame.MOST) {
            throw new IOException("a frame of " + length + " bytes");
        }
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new IOException("a frame that stops short");
        }
        return HandoverFrame.from(new DataInputStream(new ByteArrayInputStream(bytes)));
    }

    /** Hands each frame over as it comes, and says when the link has ended; on the caller's thread, until then. */
    public void read(Consumer<HandoverFrame> each, Runnable lost) {
        for (HandoverFrame f = await(); f != null; f = await()) {
            each.accept(f);
        }
        lost.run();
    }

    /** The same, on a thread of its own. */
    public void reading(Consumer<HandoverFrame> each, Runnable lost) {
        thread("link in", () -> read(each, lost));
    }

    /** Sends a frame soon; never blocks. */
    public void send(HandoverFrame frame) {
        unwritten.incrementAndGet();
        if (!waiting.offer(frame)) {
            close();
        }
    }

    /** Whether all that was sent is written. */
    public boolean flushed() {
        return unwritten.get() == 0;
    }

    private void write() {
        try {
            for (HandoverFrame f = waiting.take(); f != END; f = waiting.take()) {
                ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
                f.to(new DataOutputStream(bytes));
                ByteBuffer out = ByteBuffer.allocate(4 + bytes.size())
                        .putInt(bytes.size())
                        .put(bytes.toByteArray())
                        .flip();
                while (out.hasRemaining()) {
                    channel.write(out);
                }
                unwritten.decrementAndGet();
            }
        } catch (IOException e) {
            close();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    public void close() {
        waiting.clear();
        unwritten.set(0);
        waiting.offer(END);
        try {
            channel.close();
        } catch (IOException e) {
            // closed is closed
        }
    }
}
