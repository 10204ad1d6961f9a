package elderseam.fleet.lease;

import elderseam.fleet.config.VersionTable;
import elderseam.http.XnioStartup;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.apache.ratis.RaftConfigKeys;
import org.apache.ratis.client.RaftClient;
import org.apache.ratis.client.RaftClientConfigKeys;
import org.apache.ratis.conf.Parameters;
import org.apache.ratis.conf.RaftProperties;
import org.apache.ratis.netty.NettyConfigKeys;
import org.apache.ratis.protocol.ClientId;
import org.apache.ratis.protocol.Message;
import org.apache.ratis.protocol.RaftClientReply;
import org.apache.ratis.protocol.RaftGroup;
import org.apache.ratis.protocol.RaftGroupId;
import org.apache.ratis.protocol.RaftPeer;
import org.apache.ratis.protocol.RaftPeerId;
import org.apache.ratis.retry.RetryPolicies;
import org.apache.ratis.rpc.SupportedRpcType;
import org.apache.ratis.server.RaftServer;
import org.apache.ratis.server.RaftServerConfigKeys;
import org.apache.ratis.server.storage.RaftStorage;
import org.apache.ratis.thirdparty.com.google.protobuf.ByteString;
import org.apache.ratis.util.SizeInBytes;
import org.apache.ratis.util.TimeDuration;

/**
 * One member of a fleet's lease group: a Ratis server over TCP (Netty) with its log in the member's folder, and a client
 * that asks the group. The group's id comes from the fleet's name, so members agree on it without a word.
 *
 * <p>Errors: {@link IOException} where the folder or port can't be used. A request that the group could not decide (no
 * majority, no leader in time) completes exceptionally; the caller acts as if refused, and its tenure does not begin.
 */
public final class LeaseGroup implements Closeable {
    /** The engine tells every setting it reads at INFO; held here so that the level stays (loggers are weakly kept). */
    private static final java.util.logging.Logger ENGINE = java.util.logging.Logger.getLogger("org.apache.ratis");

    public static final long SNAPSHOT_EVERY = 2_000;
    private static final int TRIES = 3,
            MEMBERS_TRIES = 12; // a new member learns the whole log before a change of members is agreed

    /**
     * The engine's own copy of Netty would take two arenas of memory a core, for a few messages a second. Its threads are another
     * matter: the engine waits for a client's request on the thread that read it, without an end, so with a single one a request whose
     * answer never came (seen where a stalled leader stepped down) left a member deaf to all until it was killed. Each connection is to
     * have its own; they begin when they are needed.
     */
    private static final String NETTY = "org.apache.ratis.thirdparty.io.netty.";

    static {
        ENGINE.setLevel(java.util.logging.Level.WARNING);
        Map.of(
                        "eventLoopThreads",
                        "16",
                        "allocator.numDirectArenas",
                        "1",
                        "allocator.numHeapArenas",
                        "1",
                        "allocator.maxOrder",
                        "3")
                .forEach((name, value) -> {
                    if (System.getProperty(NETTY + name) == null) {
                        System.setProperty(NETTY + name, value);
                    }
                });
    }

    private final RaftServer server;
    private final LeaseStateMachine machine;
    private final RaftGroup founding;
    private final RaftProperties properties;
    private final String holder;
    private final java.util.concurrent.ExecutorService asker;

    private RaftClient client; // of the asking thread, and closed by the last
    private RaftPeerId asks; // whom it takes for the leader

    private LeaseGroup(
            RaftServer server,
            LeaseStateMachine machine,
            RaftGroup founding,
            RaftProperties properties,
            String self,
            String holder) {
        this.server = server;
        this.machine = machine;
        this.founding = founding;
        this.properties = properties;
        this.holder = holder;
        this.asker = java.util.concurrent.Executors.newSingleThreadExecutor(r -> {
            Thread t = new Thread(r, "lease-asker-" + self);
            t.setDaemon(true);
            return t;
        });
    }

    /**
     * What a member needs to begin. {@code peers}: the group's members as the others reach them, name to address, the same on
     * every founding member; one that joins a group that is there already is not among them, and is taken in by {@link
     * #members}. {@code listen}: where this one listens, which may stand behind another address. {@code folder}: made if
     * missing; one that holds a log is taken back, and the log's word on the members outranks {@code peers}. {@code
     * electionMs}: the least time a follower waits for its leader before it stands; the most is twice that. {@code life}: new
     * with each start of the process, so that a lease of the process before it is another holder's. {@code clock}: monotonic,
     * in nanoseconds. {@code snapshotEvery}: commands from one snapshot to the next, {@link #SNAPSHOT_EVERY} as a rule.
     */
    public record Opening(
            String fleet,
            String self,
            InetSocketAddress listen,
            Map<String, InetSocketAddress> peers,
            Path folder,
            long electionMs,
            String life,
            LongSupplier clock,
            LeaseStateMachine.Watch watch,
            long snapshotEvery) {}

    public static LeaseGroup start(Opening o) throws IOException {
        XnioStartup.manageable();
        RaftGroup group = group(o.fleet(), o.peers());
        RaftProperties properties = properties(o.electionMs(), o.snapshotEvery());
        NettyConfigKeys.Server.setPort(properties, o.listen().getPort());
        NettyConfigKeys.Server.setHost(properties, o.listen().getHostString());
        RaftServerConfigKeys.setStorageDir(properties, List.of(o.folder().toFile()));
        // One that joins begins with no members at all, and learns them from the leader that takes it in.
        RaftGroup own = o.peers().containsKey(o.self()) ? group : RaftGroup.valueOf(group.getGroupId());
        boolean kept = Files.isDirectory(
                o.folder().resolve(group.getGroupId().getUuid().toString()));
        LeaseStateMachine machine = new LeaseStateMachine(o.clock(), o.watch());
        RaftServer server = RaftServer.newBuilder()
                .setServerId(RaftPeerId.valueOf(o.self()))
                .setGroup(own)
                .setStateMachine(machine)
                .setProperties(properties)
                .setOption(kept ? RaftStorage.StartupOption.RECOVER : RaftStorage.StartupOption.FORMAT)
                .build();
        server.start();
        return new LeaseGroup(server, machine, group, properties, o.self(), o.self() + "/" + o.life());
    }

    /** Makes these the group's members, all at once, while leases are held; done once the group has agreed. */
    public CompletableFuture<Void> members(Map<String, InetSocketAddress> wanted) {
        return CompletableFuture.runAsync(
                () -> {
                    try {
                        RaftClientReply reply =
                                tried(MEMBERS_TRIES, c -> c.admin().setConfiguration(peers(wanted)));
                        if (!reply.isSuccess()) {
                            throw new IOException("lease group: " + reply.getException());
                        }
                    } catch (IOException e) {
                        throw new java.io.UncheckedIOException(e);
                    }
                },
                asker);
    }

    /** The members as this one has them, in the order of their names. */
    public List<String> members() throws IOException {
        return server.getDivision(server.getGroupIds().iterator().next()).getRaftConf().getCurrentPeers().stream()
                .map(p -> p.getId().toString())
                .sorted()
                .toList();
    }

    private static List<RaftPeer> peers(Map<String, InetSocketAddress> members) {
        return members.entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .map(e -> RaftPeer.newBuilder()
                        .setId(e.getKey())
                        .setAddress(e.getValue().getHostString() + ":"
                                + e.getValue().getPort())
                        .build())
                .toList();
    }

    static RaftGroup group(String fleet, Map<String, InetSocketAddress> peers) {
        RaftGroupId id = RaftGroupId.valueOf(
                UUID.nameUUIDFromBytes(("elderseam-leases:" + fleet).getBytes(StandardCharsets.UTF_8)));
        return RaftGroup.valueOf(id, peers(peers));
    }

    private static RaftProperties properties(long electionMs, long snapshotEvery) {
        RaftProperties properties = new RaftProperties();
        RaftConfigKeys.Rpc.setType(properties, SupportedRpcType.NETTY);
        RaftServerConfigKeys.Rpc.setTimeoutMin(properties, TimeDuration.valueOf(electionMs, TimeUnit.MILLISECONDS));
        RaftServerConfigKeys.Rpc.setTimeoutMax(properties, TimeDuration.valueOf(2 * electionMs, TimeUnit.MILLISECONDS));
        // One that has lost its lead for want of answers lets others stand first, by the engine's default for 10 s:
        // where the others were
        // the ones that were cut off, nobody would stand so long.
        RaftServerConfigKeys.LeaderElection.setLeaderStepDownWaitTime(
                properties, TimeDuration.valueOf(2 * electionMs, TimeUnit.MILLISECONDS));
        // A request to a member that is gone waits this long before the client turns to the next one.
        RaftClientConfigKeys.Rpc.setRequestTimeout(
                properties, TimeDuration.valueOf(3 * electionMs, TimeUnit.MILLISECONDS));
        // The table is small and each command short: a snapshot every so often, and the log before it goes.
        RaftServerConfigKeys.Snapshot.setAutoTriggerEnabled(properties, true);
        RaftServerConfigKeys.Snapshot.setAutoTriggerThreshold(properties, snapshotEvery);
        RaftServerConfigKeys.Snapshot.setRetentionFileNum(properties, 2);
        RaftServerConfigKeys.Log.setPurgeUptoSnapshotIndex(properties, true);
        RaftServerConfigKeys.Log.setPurgeGap(properties, (int) snapshotEvery);
        RaftServerConfigKeys.Log.setSegmentSizeMax(properties, SizeInBytes.valueOf("256KB"));
        RaftServerConfigKeys.Log.setPreallocatedSize(properties, SizeInBytes.valueOf("16KB"));
        RaftServerConfigKeys.Log.setWriteBufferSize(properties, SizeInBytes.valueOf("128KB"));
        RaftServerConfigKeys.Log.Appender.setBufferByteLimit(properties, SizeInBytes.valueOf("64KB"));
        return properties;
    }

    /**
     * Asks the leader that the own server knows of. The engine's client goes by its last guess: where that one was cut off without a
     * word, all six tries of a request were seen to go to it, and those of the next request too.
     */
    private RaftClient client() throws IOException {
        RaftServer.Division own = server.getDivision(founding.getGroupId());
        RaftPeerId leader = own.getInfo().getLeaderId();
        if (client != null && leader != null && !leader.equals(asks)) {
            forget();
        }
        if (client == null) {
            RaftGroup now = own.getGroup().getPeers().isEmpty() ? founding : own.getGroup();
            RaftClient.Builder b = RaftClient.newBuilder()
                    .setProperties(properties)
                    .setRaftGroup(now)
                    .setClientId(ClientId.randomId())
                    .setParameters(new Parameters())
                    // A request that meets a member who does not lead goes on to the one it names.
                    .setRetryPolicy(RetryPolicies.retryUpToMaximumCountWithFixedSleep(
                            2, TimeDuration.valueOf(50, TimeUnit.MILLISECONDS)));
            asks = leader != null && now.getPeer(leader) != null ? leader : null;
            client = (asks == null ? b : b.setLeaderId(asks)).build();
        }
        return client;
    }

    private void forget() {
        try {
            client.close();
        } catch (IOException e) {
            // gone all the same
        }
        client = null;
    }

    private interface Asked {
        RaftClientReply of(RaftClient client) throws IOException;
    }

    /** Some tries, each at whom the own server knows for the leader by then; a group with no majority answers none of them. */
    private RaftClientReply tried(int tries, Asked asked) throws IOException {
        for (int i = 1; ; i++) {
            try {
                return asked.of(client());
            } catch (IOException e) {
                if (client != null) {
                    forget();
                }
                if (i == tries) {
                    throw e;
                }
            }
        }
    }

    /** Who this member is in the table: its name, and which of its lives. */
    public String holder() {
        return holder;
    }

    /** Asks for {@code name} for {@code ttlMs}; the outcome says whether it was granted, and with which token. */
    public CompletableFuture<LeaseTable.Outcome> acquire(String name, long ttlMs) {
        return ask(new LeaseTable.Command(LeaseTable.Op.ACQUIRE, name, holder, 0, ttlMs, 0));
    }

    public CompletableFuture<LeaseTable.Outcome> renew(String name, long token, long ttlMs) {
        return ask(new LeaseTable.Command(LeaseTable.Op.RENEW, name, holder, token, ttlMs, 0));
    }

    public CompletableFuture<LeaseTable.Outcome> release(String name, long token) {
        return ask(new LeaseTable.Command(LeaseTable.Op.RELEASE, name, holder, token, 0, 0));
    }

    /** Passes {@code value} on to every member, as the holder by {@code token}; at most {@link LeaseTable#MOST_VALUE} characters. */
    public CompletableFuture<LeaseTable.Outcome> publish(String name, long token, String value) {
        return ask(new LeaseTable.Command(LeaseTable.Op.PUBLISH, name, holder, token, 0, 0, value));
    }

    /** Asks for what a command on versions comes to. */
    public CompletableFuture<VersionTable.Outcome> versions(VersionTable.Command command) {
        return ask(Message.valueOf(LeaseCodec.encodeVersions(command)), LeaseCodec::versionsOutcome);
    }

    /** The versions as this member has them, which may be behind the group's. */
    public LeaseStateMachine.Versions versions() {
        return machine.versions();
    }

    private CompletableFuture<LeaseTable.Outcome> ask(LeaseTable.Command command) {
        return ask(Message.valueOf(LeaseCodec.encode(command)), LeaseCodec::outcome);
    }

    private interface Decoded<T> {
        T of(ByteString bytes) throws IOException;
    }

    private <T> CompletableFuture<T> ask(Message message, Decoded<T> decoded) {
        // The blocking client turns to the next member when one is gone; the ordered async one was seen to wait on a
        // closed member for over 20 s. Its one thread keeps the calls in order and off every caller's thread.
        return CompletableFuture.supplyAsync(
                () -> {
                    try {
                        return outcome(tried(TRIES, c -> c.io().send(message)), decoded);
                    } catch (IOException e) {
                        throw new java.io.UncheckedIOException(e);
                    }
                },
                asker);
    }

    private static <T> T outcome(RaftClientReply reply, Decoded<T> decoded) {
        if (!reply.isSuccess()) {
            throw new IllegalStateException("lease group: " + reply.getException());
        }
        try {
            return decoded.of(reply.getMessage().getContent());
        } catch (IOException e) {
            throw new IllegalStateException("lease group: an answer that can't be read", e);
        }
    }

    @Override
    public void close() throws IOException {
        asker.shutdownNow();
        if (client != null) {
            client.close();
        }
        server.close();
    }
}
