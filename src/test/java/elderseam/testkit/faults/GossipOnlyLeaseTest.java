package elderseam.testkit.faults;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

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
    @TempDir
    Path folder;

    @Test
    void aLeaseOnGossipAloneHasTwoHoldersUnderAPartition() throws Exception {
        LeaseTestRun.Terms terms = new LeaseTestRun.Terms("leases", 1, 1, "gossip", folder);
        LeaseTestRun.Result r = LeaseTestRun.run(terms, System.out::println);
        assertEquals(1, r.violations().size(), r.violations()::toString);
        assertTrue(
                r.violations().get(0).matches("lease safety: n2/.* held gossip .* before n1/.* had stopped"),
                r.violations()::toString);
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
        LinkTable network = new LinkTable();
        InetAddress here = InetAddress.getByAddress(new byte[] {127, 0, 0, 1});
        int port;
        try (DatagramSocket free = new DatagramSocket(0, here)) {
            port = free.getLocalPort();
        }
        try (DatagramSocket a = new DatagramSocket(0, here);
                DatagramSocket b = new DatagramSocket(0, here)) {
            a.setSoTimeout(200);
            b.setSoTimeout(5_000);
            try (DatagramProxy proxy = new DatagramProxy(
                    network,
                    "b",
                    port,
                    (InetSocketAddress) b.getLocalSocketAddress(),
                    Map.of(a.getLocalSocketAddress(), "a"))) {
                InetSocketAddress there = proxy.address();
                network.cut("a", "b");
                send(a, "lost", there);
                while (network.lost() == 0) {
                    Thread.onSpinWait();
                }
                network.heal();
                send(a, "kept", there);
                DatagramPacket p = new DatagramPacket(new byte[16], 16);
                b.receive(p);
                assertEquals(
                        "kept",
                        new String(p.getData(), 0, p.getLength(), StandardCharsets.US_ASCII),
                        "what was sent over a cut link does not come later");
                network.cut("b", "a");
                send(b, "no", (InetSocketAddress) p.getSocketAddress());
                assertThrows(SocketTimeoutException.class, () -> a.receive(new DatagramPacket(new byte[16], 16)));
                network.heal();
                a.setSoTimeout(5_000);
                send(b, "yes", (InetSocketAddress) p.getSocketAddress());
                a.receive(p);
                assertEquals(there, p.getSocketAddress(), "it seems to come from where it was sent to");
                network.lose(100);
                assertFalse(network.datagram("a", "b"));
            }
        }
    }

    private static void send(DatagramSocket by, String text, InetSocketAddress to) throws Exception {
        by.send(new DatagramPacket(text.getBytes(StandardCharsets.US_ASCII), text.length(), to));
    }
}
