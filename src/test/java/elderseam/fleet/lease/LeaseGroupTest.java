package elderseam.fleet.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
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

    private static final LeaseMachine.Watch DEAF = new LeaseMachine.Watch() {
        @Override
        public void led(String by) {
            // not asked here
        }

        @Override
        public void published(String lease, String value) {
            // nor this
        }
    };

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
                members.put(name, LeaseGroup.start(new LeaseGroup.Opening("test", name, peers.get(name), peers,
                        folder.resolve(name), 150, "1", System::nanoTime, DEAF)));
            }
            LeaseTable.Outcome a = acquire(members.get("a"));
            assertTrue(a.granted());
            LeaseTable.Outcome b = acquire(members.get("b"));
            if (b.granted()) {   // only a machine stalled for the whole term may see that, and then a's term was over
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
                    Thread.sleep(next.againMs());   // the group's own word of when to ask again, not a guess
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
