package elderseam.handover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import elderseam.core.AttemptOutcome;
import elderseam.core.AttemptOutcome.Progress;
import elderseam.core.AttemptOutcome.Status;
import elderseam.core.Handover;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The connection between two processes: frames both ways, malformed input, and sockets that a dead process left. */
class HandoverChannelTest {
    private static final long TIMEOUT_S = 5;
    private static final String CLOSED = "closed";
    private static final HandoverFrame REQUEST = new HandoverFrame.TransferRequest();
    private static final HandoverFrame COMPLETION = new HandoverFrame.AttemptCompletion(new Handover.ForwardedOutcome(
            "m", 2, "h", true, new AttemptOutcome(Progress.ANSWERED, Status.OVERLOADED, 7, 0.5, 3)));

    private final BlockingQueue<String> received = new LinkedBlockingQueue<>();

    @TempDir
    Path directory;

    private Path socket;

    @BeforeEach
    void nameSocket() {
        socket = directory.resolve("handover");
    }

    private void recordFrames(HandoverChannel channel) {
        channel.receiveAll(frame -> received.add(frame.toString()), () -> received.add(CLOSED));
    }

    private String nextReceived() throws InterruptedException {
        return received.poll(TIMEOUT_S, TimeUnit.SECONDS);
    }

    @Test
    void framesPassBothWaysAndAnEndIsSeen() throws Exception {
        BlockingQueue<HandoverChannel> accepted = new LinkedBlockingQueue<>();
        try (HandoverListener listener = HandoverListener.open(directory, channel -> {
            accepted.add(channel);
            recordFrames(channel);
        })) {
            assertTrue(listener.isOpen());
            HandoverChannel channel = HandoverChannel.connect(directory).orElseThrow();
            channel.send(REQUEST);
            assertEquals(REQUEST.toString(), nextReceived());
            accepted.take().send(COMPLETION);
            assertEquals(Optional.of(COMPLETION), channel.receive());
            channel.close();
            assertEquals(CLOSED, nextReceived());
            assertEquals(Optional.empty(), channel.receive());
        }
    }

    /** An impossible length, and a frame that stops short, end their channel; the next one is accepted all the same. */
    @Test
    void malformedInputEndsTheChannel() throws Exception {
        try (HandoverListener listener = HandoverListener.open(directory, this::recordFrames)) {
            assertTrue(listener.isOpen());
            for (int length : new int[] {-1, 0, HandoverFrameCodec.MAX_FRAME_BYTES + 1, 100}) {
                try (SocketChannel raw = SocketChannel.open(UnixDomainSocketAddress.of(socket))) {
                    raw.write(
                            ByteBuffer.allocate(5).putInt(length).put((byte) 1).flip());
                    raw.shutdownOutput();
                    assertEquals(CLOSED, nextReceived(), "length " + length);
                }
            }
        }
    }

    /** What a dead process left: a socket that nobody listens on, or no socket at all. */
    @Test
    void aStaleSocketAnswersNobodyAndIsReplaced() throws Exception {
        assertEquals(Optional.empty(), HandoverChannel.connect(directory));
        ServerSocketChannel.open(StandardProtocolFamily.UNIX)
                .bind(UnixDomainSocketAddress.of(socket))
                .close();
        assertTrue(Files.exists(socket));
        assertEquals(Optional.empty(), HandoverChannel.connect(directory));
        HandoverListener.open(directory, HandoverChannel::close).close();
        Files.delete(socket);
        Files.writeString(socket, "half");
        assertEquals(Optional.empty(), HandoverChannel.connect(directory));
    }

    /** A frame that the receiver can't handle ends the channel on both sides, and not the reading thread in silence. */
    @Test
    void aFrameThatCannotBeHandledEndsTheChannel() throws Exception {
        try (HandoverListener listener = HandoverListener.open(
                directory,
                channel -> channel.receiveAll(
                        frame -> {
                            throw new IllegalStateException("of the test");
                        },
                        () -> received.add(CLOSED)))) {
            assertTrue(listener.isOpen());
            HandoverChannel channel = HandoverChannel.connect(directory).orElseThrow();
            channel.send(REQUEST);
            assertEquals(CLOSED, nextReceived());
            assertEquals(Optional.empty(), channel.receive(), "the other side sees the end");
        }
    }
}
