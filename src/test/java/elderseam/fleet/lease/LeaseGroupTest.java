package elderseam.fleet.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import elderseam.FreePorts;
import elderseam.fleet.ClockDriftBound;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests a lease group over TCP on the loopback interface; each member has its own directory. */
class LeaseGroupTest {
    private static final String LEASE = "discovery-fetch";
    private static final long TTL_MS = 3000;
    private static final long ELECTION_TIMEOUT_MS = 150;
    private static final long REPLY_TIMEOUT_S = 20;
    private static final long REPLICATION_LIMIT_MS = 20_000;
    private static final int MAX_LEADERLESS_ATTEMPTS = 20;
    private static final LeaseStateMachine.Listener NO_LISTENER = new LeaseStateMachine.Listener() {};

    @TempDir
    Path directory;

    private final Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();
    private final Map<String, LeaseGroup> members = new LinkedHashMap<>();

    @AfterEach
    void closeMembers() throws IOException {
        for (LeaseGroup member : members.values()) {
            member.close();
        }
    }

    private void allocateAddresses(String... names) throws IOException {
        for (String name : names) {
            addresses.put(name, new InetSocketAddress(InetAddress.getLoopbackAddress(), FreePorts.next()));
        }
    }

    /** Starts a member of the group, whose initial members are a, b and c; d joins later. */
    private void start(String name, long commandsPerSnapshot) throws IOException {
        Map<String, InetSocketAddress> initialMembers = new LinkedHashMap<>(addresses);
        initialMembers.remove("d");
        LeaseGroupConfiguration configuration = new LeaseGroupConfiguration(
                "test",
                name,
                addresses.get(name),
                initialMembers,
                directory.resolve(name),
                ELECTION_TIMEOUT_MS,
                "1",
                System::nanoTime,
                NO_LISTENER,
                commandsPerSnapshot);
        members.put(name, LeaseGroup.start(configuration));
    }

    private void startMembers() throws IOException {
        allocateAddresses("a", "b", "c");
        for (String name : addresses.keySet()) {
            start(name, LeaseGroupConfiguration.DEFAULT_COMMANDS_PER_SNAPSHOT);
        }
    }

    private void stop(String name) throws IOException {
        members.remove(name).close();
    }

    private long countFiles(String member, String nameRegex) throws IOException {
        while (true) {
            try (Stream<Path> files = Files.walk(directory.resolve(member))) {
                return files.filter(file -> file.getFileName().toString().matches(nameRegex))
                        .count();
            } catch (UncheckedIOException e) { // the engine deleted a temporary file during the walk
                assertInstanceOf(NoSuchFileException.class, e.getCause());
            }
        }
    }

    /** Acquires the lease, with retries while the group has no leader yet and the request therefore fails. */
    private LeaseTable.Outcome acquire(String member) throws Exception {
        for (int attempt = 0; ; attempt++) {
            try {
                return members.get(member).acquire(LEASE, TTL_MS).get(REPLY_TIMEOUT_S, TimeUnit.SECONDS);
            } catch (ExecutionException e) {
                if (attempt == MAX_LEADERLESS_ATTEMPTS) {
                    throw e;
                }
            }
        }
    }

    private void release(String member, long token) throws Exception {
        members.get(member).release(LEASE, token).get(REPLY_TIMEOUT_S, TimeUnit.SECONDS);
    }

    /** A grant that arrives after the renewer was stopped is ignored: another member may hold the lease by then. */
    @Test
    void grantAfterStopIsIgnored() throws Exception {
        allocateAddresses("a");
        start("a", LeaseGroupConfiguration.DEFAULT_COMMANDS_PER_SNAPSHOT);
        release("a", acquire("a").token());
        CompletableFuture<LeaseRenewer> started = new CompletableFuture<>();
        List<String> grants = new CopyOnWriteArrayList<>();
        LeaseRenewer.Listener stoppingListener = new LeaseRenewer.Listener() {
            @Override
            public void requested(String lease, LeaseTable.Operation operation, long token) {
                started.join().releaseAllAndStop().join();
            }

            @Override
            public void granted(String lease, LeaseValidity validity) {
                grants.add(lease);
            }

            @Override
            public void refused(String lease, LeaseTable.Outcome outcome) {}

            @Override
            public void unanswered(String lease) {}

            @Override
            public void released(String lease) {}
        };
        LeaseRenewer renewer = new LeaseRenewer(
                members.get("a"),
                List.of(LEASE),
                TTL_MS,
                new ClockDriftBound(0.01),
                new SplittableRandom(1),
                System::nanoTime,
                stoppingListener);
        started.complete(renewer);
        renewer.awaitTermination();
        assertEquals(List.of(), grants);
        assertTrue(renewer.validity(LEASE).isEmpty());
    }

    /**
     * Tokens are restored from snapshots when the log no longer contains the first entries: on the same members, on a
     * member that joins later, and after a restart.
     */
    @Test
    void tokensKeepIncreasingAfterSnapshotsAreRestored() throws Exception {
        allocateAddresses("a", "b", "c", "d");
        for (String name : List.of("a", "b", "c")) {
            start(name, 20);
        }
        long token = 0;
        for (int i = 0; i < 60; i++) {
            token = acquire("a").token();
            release("a", token);
        }
        assertEquals(60, token);
        assertTrue(countFiles("a", "snapshot\\.\\d+_\\d+") > 0, "a snapshot was taken");
        start("d", 20);
        Map<String, InetSocketAddress> newMembers = new LinkedHashMap<>(addresses);
        newMembers.remove("a");
        members.get("b").changeMembers(newMembers).get(30, TimeUnit.SECONDS);
        stop("a");
        stop("b"); // c and d are the remaining majority, so d must have the table
        assertEquals(61, acquire("d").token());
        release("d", 61);
        stop("c");
        stop("d");
        for (String name : List.of("b", "c", "d")) {
            start(name, 20);
        }
        assertEquals(62, acquire("d").token(), "token after all members restarted from their directories");
    }

    /** What one member has published is known to be on all members, or which of them lack it. */
    @Test
    void replicationIsAwaitedAndMembersThatLagAreNamed() throws Exception {
        startMembers();
        assertTrue(acquire("a").granted());
        assertEquals(List.of(), members.get("a").awaitReplication(REPLICATION_LIMIT_MS));
        stop("c");
        acquire("a"); // granted or not, it is an entry that c lacks
        assertEquals(List.of("c"), members.get("a").awaitReplication(TTL_MS));
        start("c", LeaseGroupConfiguration.DEFAULT_COMMANDS_PER_SNAPSHOT);
        assertEquals(List.of(), members.get("a").awaitReplication(REPLICATION_LIMIT_MS));
    }

    @Test
    void nextHolderGetsHigherTokenAndNotBeforeTheLeaseExpires() throws Exception {
        startMembers();
        LeaseTable.Outcome first = acquire("a");
        assertTrue(first.granted());
        LeaseTable.Outcome second = acquire("b");
        if (second.granted()) { // possible only if the machine stalled until the lease of a had expired
            assertTrue(
                    second.expiresAtMs() - TTL_MS >= first.expiresAtMs(),
                    "b was granted the lease before that of a expired");
        } else {
            assertEquals("a/1", second.holder());
        }
        stop("a");
        LeaseTable.Outcome next = acquire("b");
        while (!next.granted()) {
            assertTrue(next.retryAfterMs() > 0, "a refusal must contain the time until a retry");
            Thread.sleep(next.retryAfterMs()); // the time given by the group
            next = acquire("b");
        }
        assertTrue(next.token() > first.token());
        // in table time, b is granted the lease when that of a expires or later
        assertTrue(
                next.expiresAtMs() - TTL_MS >= first.expiresAtMs(),
                "b was granted the lease before that of a expired, after a was stopped");
    }
}
