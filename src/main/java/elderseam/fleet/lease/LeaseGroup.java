package elderseam.fleet.lease;

import elderseam.fleet.config.VersionTable;
import elderseam.http.XnioStartup;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.apache.ratis.conf.RaftProperties;
import org.apache.ratis.protocol.Message;
import org.apache.ratis.protocol.RaftClientReply;
import org.apache.ratis.protocol.RaftGroup;
import org.apache.ratis.protocol.RaftGroupId;
import org.apache.ratis.protocol.RaftPeer;
import org.apache.ratis.protocol.RaftPeerId;
import org.apache.ratis.server.RaftServer;
import org.apache.ratis.server.storage.RaftStorage;
import org.apache.ratis.thirdparty.com.google.protobuf.ByteString;

/**
 * One member of a fleet's lease group: a Ratis server over TCP with its log in the member's directory, and a client
 * that sends requests to the group. The group's id is derived from its name, so all members use the same id without
 * coordination.
 *
 * <p>Requests are sent in order by a dedicated thread; any thread may submit them. A request that the group could not
 * decide completes exceptionally with a {@link LeaseGroupException}. The caller then proceeds as if the request was
 * refused, and no lease validity begins.
 */
public final class LeaseGroup implements Closeable {
    private static final int MAX_ATTEMPTS = 3;

    /**
     * Higher than for other requests, because a new member must receive the whole log before the change is committed.
     */
    private static final int MAX_MEMBERSHIP_CHANGE_ATTEMPTS = 12;

    /**
     * A request completes within this time even if the engine blocks for longer. The engine's own attempts time out
     * well before.
     */
    private static final long REQUEST_TIMEOUT_S = 30;

    private static final long MEMBERSHIP_CHANGE_TIMEOUT_S = 180;

    private static final long REPLICATION_CHECK_INTERVAL_MS = 50;

    private static final String GROUP_ID_PREFIX = "elderseam-leases:";

    static {
        RatisSettings.applyToProcess();
    }

    private final RaftServer server;
    private final LeaseStateMachine stateMachine;
    private final LeaderClient leaderClient;
    private final String holderId;
    private final ExecutorService requestExecutor;
    private final AtomicLong timedOutRequests = new AtomicLong();

    @FunctionalInterface
    private interface OutcomeDecoder<T> {
        T decode(ByteString bytes) throws IOException;
    }

    private LeaseGroup(
            RaftServer server,
            LeaseStateMachine stateMachine,
            LeaderClient leaderClient,
            LeaseGroupConfiguration configuration) {
        this.server = server;
        this.stateMachine = stateMachine;
        this.leaderClient = leaderClient;
        this.holderId = configuration.holderId();
        this.requestExecutor = Executors.newSingleThreadExecutor(task -> {
            Thread thread = new Thread(task, "lease-asker-" + configuration.memberName());
            thread.setDaemon(true);
            return thread;
        });
    }

    /** Starts this member. Throws an IOException if the directory or the port cannot be used. */
    public static LeaseGroup start(LeaseGroupConfiguration configuration) throws IOException {
        XnioStartup.enableManagement();
        RaftGroup initialGroup = raftGroup(configuration.groupName(), configuration.initialMembers());
        RaftGroupId groupId = initialGroup.getGroupId();
        RaftProperties properties = RatisSettings.forMember(configuration);
        LeaseStateMachine stateMachine = new LeaseStateMachine(configuration.clock(), configuration.listener());
        // A joining member starts with an empty group and receives the list of members from the leader that adds it.
        boolean isInitialMember = configuration.initialMembers().containsKey(configuration.memberName());
        boolean hasLog = Files.isDirectory(
                configuration.directory().resolve(groupId.getUuid().toString()));
        RaftServer server = RaftServer.newBuilder()
                .setServerId(RaftPeerId.valueOf(configuration.memberName()))
                .setGroup(isInitialMember ? initialGroup : RaftGroup.valueOf(groupId))
                .setStateMachine(stateMachine)
                .setProperties(properties)
                .setOption(hasLog ? RaftStorage.StartupOption.RECOVER : RaftStorage.StartupOption.FORMAT)
                .build();
        server.start();
        LeaderClient leaderClient = new LeaderClient(server, initialGroup, properties);
        return new LeaseGroup(server, stateMachine, leaderClient, configuration);
    }

    /** Replaces all members of the group in one step. Leases remain valid. Completes when the change is committed. */
    public CompletableFuture<Void> changeMembers(Map<String, InetSocketAddress> members) {
        return execute(MEMBERSHIP_CHANGE_TIMEOUT_S, () -> {
            send(MAX_MEMBERSHIP_CHANGE_ATTEMPTS, client -> client.admin().setConfiguration(raftPeers(members)));
            return null;
        });
    }

    /** Returns the names of the group's members as known to this member, sorted. */
    public List<String> memberNames() throws IOException {
        return division().getRaftConf().getCurrentPeers().stream()
                .map(peer -> peer.getId().toString())
                .sorted()
                .toList();
    }

    /** Returns a description of this member's Raft state: role, term, commit index and last applied index. */
    public String engineState() throws IOException {
        RaftServer.Division division = division();
        return division.getInfo().getCurrentRole()
                + " term " + division.getInfo().getCurrentTerm()
                + " commit " + division.getRaftLog().getLastCommittedIndex()
                + " applied " + division.getInfo().getLastAppliedIndex();
    }

    /**
     * Waits until every member has committed all that this member has committed now, and returns the names of those that
     * have not within the timeout, sorted. The members report to the leader what they have committed, and its heartbeats
     * tell it to all, so the answer may come some heartbeats late but never early. Blocks; any thread may call it.
     *
     * @throws IOException if this member has left its group
     */
    public List<String> awaitReplication(long timeoutMs) throws IOException, InterruptedException {
        long deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
        long index = division().getRaftLog().getLastCommittedIndex();
        List<String> behind = membersBehind(index);
        while (!behind.isEmpty() && System.nanoTime() < deadlineNs) {
            Thread.sleep(REPLICATION_CHECK_INTERVAL_MS); // the engine reports no change of what others have committed
            behind = membersBehind(index);
        }
        return behind;
    }

    private List<String> membersBehind(long index) throws IOException {
        Set<String> committed = division().getCommitInfos().stream()
                .filter(info -> info.getCommitIndex() >= index)
                .map(info -> RaftPeerId.valueOf(info.getServer().getId()).toString())
                .collect(Collectors.toSet());
        return memberNames().stream().filter(name -> !committed.contains(name)).toList();
    }

    private RaftServer.Division division() throws IOException {
        return server.getDivision(server.getGroupIds().iterator().next());
    }

    static RaftGroup raftGroup(String groupName, Map<String, InetSocketAddress> members) {
        byte[] nameBytes = (GROUP_ID_PREFIX + groupName).getBytes(StandardCharsets.UTF_8);
        return RaftGroup.valueOf(RaftGroupId.valueOf(UUID.nameUUIDFromBytes(nameBytes)), raftPeers(members));
    }

    private static List<RaftPeer> raftPeers(Map<String, InetSocketAddress> members) {
        return members.entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .map(member -> raftPeer(member.getKey(), member.getValue()))
                .toList();
    }

    private static RaftPeer raftPeer(String name, InetSocketAddress address) {
        return RaftPeer.newBuilder()
                .setId(name)
                .setAddress(address.getHostString() + ":" + address.getPort())
                .build();
    }

    /** Returns this member's holder id in the lease table: its name and its incarnation. */
    public String holderId() {
        return holderId;
    }

    /** Requests a lease for {@code ttlMs} milliseconds, at most {@link LeaseTable#MAX_TTL_MS}. */
    public CompletableFuture<LeaseTable.Outcome> acquire(String lease, long ttlMs) {
        return submit(new LeaseTable.Command(LeaseTable.Operation.ACQUIRE, lease, holderId, 0, ttlMs, 0));
    }

    /** Extends the lease that this member holds with {@code token} to {@code ttlMs} milliseconds from now. */
    public CompletableFuture<LeaseTable.Outcome> renew(String lease, long token, long ttlMs) {
        return submit(new LeaseTable.Command(LeaseTable.Operation.RENEW, lease, holderId, token, ttlMs, 0));
    }

    /** Releases the lease that this member holds with {@code token}. */
    public CompletableFuture<LeaseTable.Outcome> release(String lease, long token) {
        return submit(new LeaseTable.Command(LeaseTable.Operation.RELEASE, lease, holderId, token, 0, 0));
    }

    /**
     * Publishes a value of at most {@link LeaseTable#MAX_VALUE_CHARS} characters to every member. This member must
     * hold the lease with {@code token}. Throws {@link IllegalArgumentException} for a longer value.
     */
    public CompletableFuture<LeaseTable.Outcome> publish(String lease, long token, String value) {
        return submit(new LeaseTable.Command(LeaseTable.Operation.PUBLISH, lease, holderId, token, 0, 0, value));
    }

    private CompletableFuture<LeaseTable.Outcome> submit(LeaseTable.Command command) {
        return submit(new GroupCommand.LeaseCommand(command), LeaseCodec::decodeLeaseOutcome);
    }

    /** Submits a command for the version table. */
    public CompletableFuture<VersionTable.Outcome> submit(VersionTable.Command command) {
        return submit(new GroupCommand.VersionCommand(command), LeaseCodec::decodeVersionOutcome);
    }

    private <T> CompletableFuture<T> submit(GroupCommand command, OutcomeDecoder<T> decoder) {
        Message message = Message.valueOf(LeaseCodec.encodeCommand(command));
        return execute(
                REQUEST_TIMEOUT_S,
                () -> decode(send(MAX_ATTEMPTS, client -> client.io().send(message)), decoder));
    }

    /**
     * Executes a request on the request thread. The result completes within the timeout even if the engine blocks for
     * longer, so that the caller is not blocked with it. A request whose timeout expires before its turn is not sent.
     */
    private <T> CompletableFuture<T> execute(long timeoutS, Supplier<T> request) {
        CompletableFuture<T> result = new CompletableFuture<>();
        requestExecutor.execute(() -> {
            if (result.isDone()) {
                return;
            }
            try {
                result.complete(request.get());
            } catch (RuntimeException e) {
                result.completeExceptionally(e);
            }
        });
        return result.orTimeout(timeoutS, TimeUnit.SECONDS).whenComplete((outcome, failure) -> {
            if (failure instanceof TimeoutException) {
                stateMachine.requestTimedOut(TimeUnit.SECONDS.toMillis(timeoutS), timedOutRequests.incrementAndGet());
            }
        });
    }

    /** Returns how many requests of this member timed out. */
    public long timedOutRequests() {
        return timedOutRequests.get();
    }

    /** Sends a request on the request thread. Throws a LeaseGroupException unless the group executed the request. */
    private RaftClientReply send(int maxAttempts, LeaderClient.Request request) {
        RaftClientReply reply;
        try {
            reply = leaderClient.send(maxAttempts, request);
        } catch (IOException e) {
            throw new LeaseGroupException(e);
        }
        if (!reply.isSuccess()) {
            throw new LeaseGroupException("lease group rejected the request: " + reply.getException());
        }
        return reply;
    }

    private static <T> T decode(RaftClientReply reply, OutcomeDecoder<T> decoder) {
        try {
            return decoder.decode(reply.getMessage().getContent());
        } catch (IOException e) {
            throw new LeaseGroupException("lease group sent a reply that cannot be decoded", e);
        }
    }

    /** Returns the configuration versions that this member has applied, which may lag behind the group. */
    public LeaseStateMachine.VersionView localVersions() {
        return stateMachine.versions();
    }

    /**
     * Stops the request thread, the client and the server. Pending requests complete exceptionally when their timeout
     * expires.
     */
    @Override
    public void close() throws IOException {
        requestExecutor.shutdownNow();
        try {
            leaderClient.close();
        } finally {
            server.close();
        }
    }
}
