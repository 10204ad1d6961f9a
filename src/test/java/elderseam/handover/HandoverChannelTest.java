package elderseam.handover;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import elderseam.core.AttemptOutcome;
import elderseam.core.AttemptOutcome.Progress;
import elderseam.core.AttemptOutcome.Status;
import elderseam.core.Handover;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The link between two processes, and what travels on it. */
class HandoverChannelTest {
    private static final Handover.ForwardedOutcome PASSED = new Handover.ForwardedOutcome(
            "m", 2, "h", true, new AttemptOutcome(Progress.ANSWERED, Status.FULL, 7, 0.5, 3));
    private static final HandoverFrame.Give GIVE = new HandoverFrame.Give(
            "{\"name\":\"Österreich\"}",
            new Handover.State(new byte[] {1, 2, 3}, List.of(new Handover.InFlightAttempt("a", 1, "h", 5))),
            true);

    @TempDir
    Path folder;

    private static byte[] bytes(HandoverFrame f) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        f.to(new DataOutputStream(out));
        return out.toByteArray();
    }

    private static HandoverFrame read(byte[] bytes) throws IOException {
        return HandoverFrame.from(new DataInputStream(new ByteArrayInputStream(bytes)));
    }

    @Test
    void framesComeThroughWhole() throws Exception {
        for (HandoverFrame f : List.of(
                new HandoverFrame.Take(),
                new HandoverFrame.Owned(),
                new HandoverFrame.Abandon("m", 3),
                new HandoverFrame.Ended(PASSED))) {
            assertEquals(f, read(bytes(f)));
        }
        HandoverFrame.Give back = (HandoverFrame.Give) read(bytes(GIVE));
        assertEquals(GIVE.list(), back.list());
        assertEquals(GIVE.estate().inFlight(), back.estate().inFlight());
        assertArrayEquals(GIVE.estate().policySnapshot(), back.estate().policySnapshot());
        assertTrue(back.drains());
    }

    @Test
    void anotherVersionOrHalfAFrameIsRefused() throws Exception {
        byte[] other = bytes(GIVE);
        other[0]++;
        assertThrows(IOException.class, () -> read(other));
        byte[] whole = bytes(GIVE);
        for (int n = 0; n < whole.length; n++) {
            byte[] half = java.util.Arrays.copyOf(whole, n);
            assertThrows(IOException.class, () -> read(half));
        }
    }

    @Test
    void framesPassBothWaysAndAnEndIsSeen() throws Exception {
        BlockingQueue<String> seen = new LinkedBlockingQueue<>();
        BlockingQueue<HandoverChannel> older = new LinkedBlockingQueue<>();
        try (ServerSocketChannel server = HandoverChannel.listen(folder, l -> {
            older.add(l);
            l.read(f -> seen.add(f.toString()), () -> seen.add("lost"));
        })) {
            assertTrue(server.isOpen());
            HandoverChannel link = HandoverChannel.connect(folder);
            link.send(new HandoverFrame.Take());
            assertEquals(new HandoverFrame.Take().toString(), seen.poll(5, TimeUnit.SECONDS));
            older.take().send(new HandoverFrame.Ended(PASSED));
            assertEquals(new HandoverFrame.Ended(PASSED), link.await());
            link.close();
            assertEquals("lost", seen.poll(5, TimeUnit.SECONDS));
            assertNull(link.await());
        }
    }

    /** A length that is none, and a frame that stops short, end the link and nothing else. */
    @Test
    void noiseEndsTheLink() throws Exception {
        BlockingQueue<String> seen = new LinkedBlockingQueue<>();
        try (ServerSocketChannel server =
                HandoverChannel.listen(folder, l -> l.read(f -> seen.add(f.toString()), () -> seen.add("lost")))) {
            assertTrue(server.isOpen());
            for (int length : new int[] {-1, 0, HandoverFrame.MOST + 1, 100}) {
                try (SocketChannel raw = SocketChannel.open(UnixDomainSocketAddress.of(folder.resolve("handover")))) {
                    raw.write(
                            ByteBuffer.allocate(5).putInt(length).put((byte) 1).flip());
                    raw.shutdownOutput();
                    assertEquals("lost", seen.poll(5, TimeUnit.SECONDS), "length " + length);
                }
            }
        }
    }

    /** What a dead process left: a socket that nobody listens on, or no socket at all. */
    @Test
    void aStaleSocketIsNobodysAndIsReplaced() throws Exception {
        assertNull(HandoverChannel.connect(folder));
        ServerSocketChannel.open(StandardProtocolFamily.UNIX)
                .bind(UnixDomainSocketAddress.of(folder.resolve("handover")))
                .close();
        assertTrue(Files.exists(folder.resolve("handover")));
        assertNull(HandoverChannel.connect(folder));
        HandoverChannel.listen(folder, HandoverChannel::close).close();
        Files.delete(folder.resolve("handover"));
        Files.writeString(folder.resolve("handover"), "half");
        assertNull(HandoverChannel.connect(folder));
    }

    /** The lock is one owner's alone, and free once it is let go. */
    @Test
    void theFolderHasOneOwner() throws Exception {
        OwnershipLock one = new OwnershipLock(folder), other = new OwnershipLock(folder);
        assertTrue(one.take());
        assertTrue(one.take());
        assertFalse(other.take());
        one.release();
        assertTrue(other.take());
    }
}
