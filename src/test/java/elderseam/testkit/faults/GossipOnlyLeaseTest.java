package elderseam.testkit.faults;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import elderseam.FreePorts;
import elderseam.fleet.selftest.GossipOnlyLease;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.ResourceLock;

/** Why leases stand on a replicated log: decided by gossip alone, two processes hold one at once as soon as a link is cut. */
@ResourceLock("rig two") // each class starts some processes: two classes at a time
class GossipOnlyLeaseTest {
    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    private static final int MAX_BYTES = 16;
    private static final int ARRIVAL_TIMEOUT_MS = 5_000;
    private static final int ABSENCE_TIMEOUT_MS = 200;

    @TempDir
    Path folder;

    @Test
    void aLeaseOnGossipAloneHasTwoHoldersUnderAPartition() throws Exception {
        LeaseTestRun.Terms terms = new LeaseTestRun.Terms("leases", 1, 1, "gossip", folder);
        LeaseTestRun.Result result = LeaseTestRun.run(terms, System.out::println);
        assertEquals(1, result.violations().size(), result.violations()::toString);
        assertTrue(
                result.violations().get(0).matches("lease safety: n2/.* held gossip .* before n1/.* had stopped"),
                result.violations()::toString);
    }

    @Test
    void theRuleByItself() {
        assertTrue(GossipOnlyLease.holds("n1", Set.of("n1"), 3, false), "cut off, it goes on seeing itself");
        assertFalse(GossipOnlyLease.holds("n1", Set.of("n1"), 3, true));
        assertTrue(GossipOnlyLease.holds("n2", Set.of("n2", "n3"), 3, true));
        assertFalse(GossipOnlyLease.holds("n2", Set.of("n1", "n2"), 3, true));
    }

    @Test
    void datagramsOnACutLinkAreLostAndAnswersGoBackTheSameWay() throws Exception {
        LinkTable links = new LinkTable();
        try (DatagramSocket a = new DatagramSocket(0, LOOPBACK);
                DatagramSocket b = new DatagramSocket(0, LOOPBACK);
                DatagramProxy proxy = new DatagramProxy(
                        links,
                        "b",
                        FreePorts.next(),
                        (InetSocketAddress) b.getLocalSocketAddress(),
                        Map.of(a.getLocalSocketAddress(), "a"))) {
            b.setSoTimeout(ARRIVAL_TIMEOUT_MS);
            links.cut("a", "b");
            send(a, "lost", proxy.address());
            while (links.lostDatagrams() == 0) {
                Thread.onSpinWait();
            }
            links.heal();
            send(a, "kept", proxy.address());
            DatagramPacket received = receive(b);
            assertEquals("kept", text(received), "what was sent over a cut link does not come later");

            InetSocketAddress sender = (InetSocketAddress) received.getSocketAddress();
            links.cut("b", "a");
            send(b, "no", sender);
            a.setSoTimeout(ABSENCE_TIMEOUT_MS);
            assertThrows(SocketTimeoutException.class, () -> receive(a));
            links.heal();
            a.setSoTimeout(ARRIVAL_TIMEOUT_MS);
            send(b, "yes", sender);
            assertEquals(proxy.address(), receive(a).getSocketAddress(), "it seems to come from where it was sent to");
            links.lose(100);
            assertFalse(links.deliversDatagram("a", "b"));
        }
    }

    private static void send(DatagramSocket socket, String text, InetSocketAddress to) throws Exception {
        socket.send(new DatagramPacket(text.getBytes(StandardCharsets.US_ASCII), text.length(), to));
    }

    private static DatagramPacket receive(DatagramSocket socket) throws Exception {
        DatagramPacket packet = new DatagramPacket(new byte[MAX_BYTES], MAX_BYTES);
        socket.receive(packet);
        return packet;
    }

    private static String text(DatagramPacket packet) {
        return new String(packet.getData(), 0, packet.getLength(), StandardCharsets.US_ASCII);
    }
}
