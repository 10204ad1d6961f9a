package elderseam.testkit.faults;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import elderseam.FreePorts;
import elderseam.acme.SecretSealer;
import elderseam.core.Clock;
import elderseam.http.IoLoop;
import elderseam.testkit.acme.StandInAuthority;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.ResourceLock;

/** One member orders the certificate for all, on three real processes and the stand-in authority, which asks one of them alone. */
@ResourceLock("rig two") // each class starts some processes: two classes at a time
class LeasedCertificateOrderTest {
    private static final FaultSchedule PLAN = new FaultSchedule(3, 1_200, 5, 150, 1_000, Map.of(), List.of());

    /** Two and a half terms of the lease. */
    private static final long STALL_MS = 3_000;

    /** Longer than a member that does not know an answer waits for it, and shorter than an order takes at the most. */
    private static final long CUT_MS = 5_000;

    @TempDir
    Path folder;

    private ClusterSetup setup(StandInAuthority authority, int port, Path key) {
        return new ClusterSetup(
                true,
                name -> "certificates = one\ncertificate_key = " + key
                        + "\n[events]\nlisten = 127.0.0.1:0\n[acme]\ndirectory = "
                        + authority.directory() + "\nnames = localhost\nfolder = "
                        + folder.resolve(name + "-certificate") + "\nchallenges = 127.0.0.1:"
                        + (name.equals("n1") ? port : 0) + "\n",
                false,
                true,
                ClusterSetup.GossipLease.NO_GOSSIP);
    }

    private static String holder(ProcessCluster cluster) throws IOException {
        for (String name : cluster.group()) {
            if (cluster.member(name).alive()
                    && cluster.member(name).ask("FLEET").contains("lease.certificate:localhost=held")) {
                return name;
            }
        }
        return "n1"; // just now nobody does: then nothing of who holds it is shown
    }

    private Set<String> chains(List<String> group) throws IOException {
        Set<String> all = new HashSet<>();
        for (String name : group) {
            Path chain = folder.resolve(name + "-certificate").resolve("chain.pem");
            all.add(Files.exists(chain) ? Files.readString(chain) : "");
        }
        return all;
    }

    /** Waits until all serve one chain that is another than {@code before}. */
    private String one(ProcessCluster cluster, String before, long byNs) throws Exception {
        List<String> living = cluster.livingMembers();
        Set<String> now = chains(living);
        while (now.size() != 1 || now.contains("") || now.contains(before)) {
            assertTrue(System.nanoTime() < byNs, "no one chain on all: " + now.size());
            Waits.sleep(50); // files tell nobody of a change
            now = chains(living);
        }
        return now.iterator().next();
    }

    @Test
    void oneOrdersRenewsAndAnotherAfterIt() throws Exception {
        int port = FreePorts.next();
        StandInAuthority authority = new StandInAuthority(
                new IoLoop(new Clock()),
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                port,
                Duration.ofSeconds(210),
                Duration.ofSeconds(120)); // renewed from 10 s on, and by everybody for itself only 55 s later
        Path key = folder.resolve("seal");
        SecretSealer.createKeyFile(key, new SecureRandom());
        try (ProcessCluster cluster = new ProcessCluster(PLAN, folder.resolve("c"), setup(authority, port, key))) {
            String first = one(cluster, "", Waits.deadlineInSeconds(60));
            assertEquals(1, authority.ordered(), "one order for three members");
            if (holder(cluster).equals("n1")) { // the renewal is another's, while the authority goes on asking n1
                cluster.inject(FaultInjection.parse(0, "end n1"));
                cluster.heal(true);
            }
            String second = one(cluster, first, Waits.deadlineInSeconds(60));
            assertEquals(2, authority.signed(), "one renewal for three members");
            String holder = holder(cluster);
            if (!holder.equals("n1")) {
                cluster.inject(FaultInjection.parse(0, "crash " + holder));
            }
            one(cluster, second, Waits.deadlineInSeconds(60));
            assertEquals(3, authority.signed(), "and one by whoever holds the lease after a crash");
            assertEquals(List.of(), HistoryCheckers.read(cluster.histories()).leaseSafety());
        }
    }

    /** Nobody orders a second certificate because the lease ended while its holder stood still inside an order. */
    @Test
    void aHolderThatStallsInsideItsOrderFinishesItForAll() throws Exception {
        int port = FreePorts.next();
        try (ChallengeGate gate = new ChallengeGate(port)) {
            StandInAuthority authority = new StandInAuthority(
                    new IoLoop(new Clock()), new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), gate.port());
            Path key = folder.resolve("seal");
            SecretSealer.createKeyFile(key, new SecureRandom());
            try (ProcessCluster cluster = new ProcessCluster(PLAN, folder.resolve("c"), setup(authority, port, key))) {
                assertTrue(gate.awaitChallenge(60), "no order came as far as its challenge");
                String ordering = holder(cluster);
                cluster.inject(FaultInjection.parse(0, "stall " + ordering + " " + STALL_MS));
                Waits.sleep(STALL_MS);
                cluster.resumeDue(System.nanoTime());
                gate.open();
                one(cluster, "", Waits.deadlineInSeconds(60));
                assertEquals(1, authority.ordered(), "orders, of which " + ordering + " began the first");
                assertEquals(
                        List.of(), HistoryCheckers.read(cluster.histories()).leaseSafety());
            }
        }
    }

    /** The authority asks a member that was cut off from the group when the answer to its challenge was published. */
    @Test
    void theAuthorityAsksOnlyOnceTheMemberThatItAsksHasTheAnswer() throws Exception {
        int port = FreePorts.next();
        StandInAuthority authority = new StandInAuthority(
                new IoLoop(new Clock()), new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), port);
        Path key = folder.resolve("seal");
        SecretSealer.createKeyFile(key, new SecureRandom());
        try (ProcessCluster cluster = new ProcessCluster(PLAN, folder.resolve("c"), setup(authority, port, key))) {
            cluster.inject(FaultInjection.parse(0, "isolate n1"));
            String started = "certificate.order_started holds_lease=true reason=lease";
            assertTrue(
                    cluster.awaitLastEvent("certificate.order_started", started, 1, Waits.deadlineInSeconds(60)),
                    "no member orders");
            Waits.sleep(CUT_MS);
            cluster.heal(true);
            one(cluster, "", Waits.deadlineInSeconds(60));
            assertEquals(1, authority.ordered(), "orders");
            assertEquals(List.of(), HistoryCheckers.read(cluster.histories()).leaseSafety());
        }
    }

    @Test
    void aSealOpensByItsKeyAndForItsMatterAlone() throws Exception {
        SecureRandom random = new SecureRandom();
        SecretSealer.createKeyFile(folder.resolve("a"), random);
        SecretSealer.createKeyFile(folder.resolve("b"), random);
        SecretSealer a = SecretSealer.readKeyFile(folder.resolve("a"), random);
        SecretSealer b = SecretSealer.readKeyFile(folder.resolve("b"), random);
        String text = a.seal(new byte[] {1, 2, 3}, "x");
        assertEquals(3, a.open(text, "x").length);
        assertThrows(IOException.class, () -> a.open(text, "y"));
        assertThrows(IOException.class, () -> b.open(text, "x"));
        assertThrows(IOException.class, () -> a.open("AAAA" + text.substring(4), "x"));
        assertThrows(IOException.class, () -> a.open("AAAA", "x"));
    }
}
