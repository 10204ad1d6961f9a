package elderseam.fleet.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Three members of a lease group on loopback, each with its own folder: Ratis over real TCP. */
class LeaseGroupTest {
    @TempDir
    Path folder;

    private static int freePort() throws IOException {
        try (ServerSocket s = new ServerSocket(0)) {
            return s.getLocalPort();
        }
    }

    private static final LeaseStateMachine.Watch DEAF = new LeaseStateMachine.Watch() {};

    private LeaseGroup start(String name, Map<String, InetSocketAddress> peers, long snapshotEvery) throws IOException {
        Map<String, InetSocketAddress> founding = new LinkedHashMap<>(peers);
        founding.remove("d"); // that one joins
        return LeaseGroup.start(new LeaseGroup.Opening(
                "test",
                name,
                peers.get(name),
                founding,
                folder.resolve(name),
                150,
                "1",
                System::nanoTime,
                DEAF,
                snapshotEvery));
    }

    private long files(String name, String like) throws IOException {
        try (Stream<Path> all = Files.walk(folder.resolve(name))) {
            return all.filter(f -> f.getFileName().toString().matches(like)).count();
        }
    }

    /** The table outlasts its log: after snapshots, for a member that joins when the log's begin is gone, and for all after a stop. */
    @Test
    void tokensGoOnRisingFromSnapshots() throws Exception {
        Map<String, InetSocketAddress> peers = new LinkedHashMap<>();
        for (String name : new String[] {"a", "b", "c", "d"}) {
            peers.put(name, new InetSocketAddress("127.0.0.1", freePort()));
        }
        Map<String, LeaseGroup> members = new LinkedHashMap<>();
        try {
            for (String name : new String[] {"a", "b", "c"}) {
                members.put(name, start(name, peers, 20));
            }
            long token = 0;
            for (int i = 0; i < 60; i++) {
                LeaseTable.Outcome o = acquire(members.get("a"));
                token = o.token();
                members.get("a").release("discovery-fetch", token).get(20, TimeUnit.SECONDS);
            }
            assertEquals(60, token);
            assertTrue(files("a", "snapshot\\.\\d+_\\d+") > 0, "a snapshot was taken");
            members.put("d", start("d", peers, 20));
            Map<String, InetSocketAddress> wanted = new LinkedHashMap<>(peers);
            wanted.remove("a");
            members.get("b").members(wanted).get(30, TimeUnit.SECONDS);
            members.remove("a").close();
            members.remove("b").close(); // c and d are a majority, so d has the table
            assertEquals(61, acquire(members.get("d")).token());
            members.get("d").release("discovery-fetch", 61).get(20, TimeUnit.SECONDS);
            for (String name : new String[] {"c", "d"}) {
                members.remove(name).close();
            }
            for (String name : new String[] {"b", "c", "d"}) {
                members.put(name, start(name, peers, 20));
            }
            assertEquals(62, acquire(members.get("d")).token(), "all of them began from their folders");
        } finally {
            for (LeaseGroup m : members.values()) {
                m.close();
            }
        }
    }

    /** The group's word; while it has no leader yet it gives none, and says so. */
    private static LeaseTable.Outcome acquire(LeaseGroup member) throws Exception {
        for (int i = 0; ; i++) {
            try {
                return member.acquire("discovery-fetch", 3000).get(20, TimeUnit.SECONDS);
            } catch (ExecutionException e) {
                if (i == 20) {
                    throw e;
                }
            }
        }
    }

    @Test
    void aHolderThatLeavesIsSucceededWithAHigherTokenAndNeverWhileItsLeaseHolds() throws Exception {
        Map<String, InetSocketAddress> peers = new LinkedHashMap<>();
        for (String name : new String[] {"a", "b", "c"}) {
            peers.put(name, new InetSocketAddress("127.0.0.1", freePort()));
        }
        Map<String, LeaseGroup> members = new LinkedHashMap<>();
        try {
            for (String name : peers.keySet()) {
                members.put(name, start(name, peers, 2_000));
            }
            LeaseTable.Outcome a = acquire(members.get("a"));
            assertTrue(a.granted());
            LeaseTable.Outcome b = acquire(members.get("b"));
            if (b.granted()) { // only a machine stalled for the whole term may see that, and then a's term was over
                assertTrue(b.untilMs() - 3000 >= a.untilMs(), "b granted inside a's term");
            } else {
                assertEquals("a/1", b.holder());
            }
            members.remove("a").close();
            LeaseTable.Outcome next;
            do {
                next = acquire(members.get("b"));
                if (!next.granted()) {
                    assertTrue(next.againMs() > 0, "a refusal says when to come back");
                    Thread.sleep(next.againMs()); // the group's own word of when to ask again, not a guess
                }
            } while (!next.granted());
            assertTrue(next.token() > a.token());
            // By the table's own stamps (the table's time): b's grant comes at a's end or later.
            assertTrue(next.untilMs() - 3000 >= a.untilMs(), "b never holds inside a's term");
        } finally {
            for (LeaseGroup m : members.values()) {
                m.close();
            }
        }
    }
}
