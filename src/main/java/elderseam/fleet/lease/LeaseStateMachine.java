package elderseam.fleet.lease;

import elderseam.fleet.config.ConfigurationVersion;
import elderseam.fleet.config.VersionTable;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import org.apache.ratis.proto.RaftProtos.LogEntryProto;
import org.apache.ratis.protocol.Message;
import org.apache.ratis.protocol.RaftClientRequest;
import org.apache.ratis.protocol.RaftGroupId;
import org.apache.ratis.protocol.RaftGroupMemberId;
import org.apache.ratis.protocol.RaftPeerId;
import org.apache.ratis.server.RaftServer;
import org.apache.ratis.server.protocol.TermIndex;
import org.apache.ratis.server.storage.FileInfo;
import org.apache.ratis.server.storage.RaftStorage;
import org.apache.ratis.statemachine.StateMachineStorage;
import org.apache.ratis.statemachine.TransactionContext;
import org.apache.ratis.statemachine.impl.BaseStateMachine;
import org.apache.ratis.statemachine.impl.SimpleStateMachineStorage;
import org.apache.ratis.statemachine.impl.SingleFileSnapshotInfo;
import org.apache.ratis.thirdparty.com.google.protobuf.ByteString;
import org.apache.ratis.util.LifeCycle;
import org.apache.ratis.util.MD5FileUtil;

/**
 * The lease table and the version table as a state machine of Apache Ratis. The leader adds a timestamp to each command
 * when it accepts it ({@link #startTransaction}), so that every member applies the command with the same time; the
 * tables then depend on the log alone. After a restart the engine restores the latest snapshot and replays the log
 * after it.
 *
 * <p>Only the engine's apply thread changes the tables; it and all readers (for a timestamp, a snapshot or {@link
 * #versions}) hold the same lock.
 */
public final class LeaseStateMachine extends BaseStateMachine {
    /**
     * The configuration versions that this member has applied, which may lag behind the group.
     *
     * @param latest the latest committed version, or {@link ConfigurationVersion#NONE}
     * @param pending the proposal that is being validated, if any
     * @param lastDecision the decision on the previous proposal
     * @param committed the retained committed versions, oldest first
     */
    public record VersionView(
            ConfigurationVersion latest,
            Optional<ConfigurationVersion> pending,
            VersionTable.Decision lastDecision,
            List<ConfigurationVersion> committed) {
        /** Returns a retained version by its number; 0 is {@link ConfigurationVersion#NONE}. */
        public Optional<ConfigurationVersion> find(long number) {
            return ConfigurationVersion.find(committed, number);
        }
    }

    /** Notified of changes in the group, on threads of the engine. Every method does nothing by default. */
    public interface Listener {
        /** The member named {@code leader} has become the leader of the group. */
        default void leaderChanged(String leader) {}

        /**
         * The holder of a lease has published a value under it. After a restart, called again for replayed values,
         * oldest first.
         */
        default void published(String lease, String value) {}

        /** The holder of a lease has released it before it expired. */
        default void released(String lease) {}

        /** A follower of this member, the leader, replies but keeps refusing its entries. */
        default void followerRefused(FollowerRefusals.Refusal refusal) {}

        /**
         * A request of this member timed out after {@code timeoutMs}; {@code count} is the number of timed-out requests
         * so far.
         */
        default void requestTimedOut(long timeoutMs, long count) {}

        /** A version was proposed, committed or refused. */
        default void versionsChanged() {}
    }

    private final Object lock = new Object(); // guards both tables and the index of the last applied command
    private final LeaseTable leases = new LeaseTable();
    private final VersionTable versions = new VersionTable();
    private final LeaderClock leaderClock = new LeaderClock();
    private final LongSupplier clock;
    private final Listener listener;
    private final SimpleStateMachineStorage storage = new SimpleStateMachineStorage();
    private RaftServer server;

    /**
     * @param clock the member's monotonic clock in nanoseconds; a parameter so that a fault test can make it run fast
     *     or slow
     * @param listener notified on threads of the engine
     */
    public LeaseStateMachine(LongSupplier clock, Listener listener) {
        this.clock = clock;
        this.listener = listener;
    }

    @Override
    public void initialize(RaftServer raftServer, RaftGroupId group, RaftStorage raftStorage) throws IOException {
        super.initialize(raftServer, group, raftStorage);
        server = raftServer;
        storage.init(raftStorage);
        getLifeCycle().startAndTransition(this::loadLatestSnapshot, IOException.class);
    }

    /**
     * Called before a snapshot from the leader replaces the tables. The engine terminates a member whose state machine
     * does not report that it is paused.
     */
    @Override
    public void pause() {
        getLifeCycle().transition(LifeCycle.State.PAUSING);
        getLifeCycle().transition(LifeCycle.State.PAUSED);
    }

    @Override
    public void reinitialize() throws IOException {
        getLifeCycle().startAndTransition(this::loadLatestSnapshot, IOException.class);
    }

    private void loadLatestSnapshot() throws IOException {
        SingleFileSnapshotInfo info = storage.loadLatestSnapshot();
        if (info == null) {
            return;
        }
        byte[] bytes = Files.readAllBytes(info.getFile().getPath());
        LeaseCodec.GroupSnapshot snapshot = LeaseCodec.decodeSnapshot(bytes);
        synchronized (lock) {
            leases.restore(snapshot.leases());
            snapshot.versions().ifPresent(versions::restore);
        }
        setLastAppliedTermIndex(info.getTermIndex());
        snapshot.leases().publishedValues().forEach(listener::published);
        listener.versionsChanged();
    }

    /** Writes both tables to one file; the engine then purges the log up to the returned index. */
    @Override
    public long takeSnapshot() throws IOException {
        TermIndex lastApplied;
        LeaseCodec.GroupSnapshot snapshot;
        synchronized (lock) {
            lastApplied = getLastAppliedTermIndex();
            snapshot = new LeaseCodec.GroupSnapshot(leases.snapshot(), Optional.of(versions.snapshot()));
        }
        File file = storage.getSnapshotFile(lastApplied.getTerm(), lastApplied.getIndex());
        Files.write(file.toPath(), LeaseCodec.encodeSnapshot(snapshot));
        FileInfo info = new FileInfo(file.toPath(), MD5FileUtil.computeAndSaveMd5ForFile(file));
        storage.updateLatestSnapshot(new SingleFileSnapshotInfo(info, lastApplied));
        return lastApplied.getIndex();
    }

    @Override
    public StateMachineStorage getStateMachineStorage() {
        return storage;
    }

    @Override
    public void notifyLeaderChanged(RaftGroupMemberId member, RaftPeerId leader) {
        listener.leaderChanged(leader.toString());
    }

    /** Called on the leader for each request: validates the command and adds a timestamp. */
    @Override
    public TransactionContext startTransaction(RaftClientRequest request) throws IOException {
        GroupCommand command = LeaseCodec.decodeCommand(request.getMessage().getContent());
        long term = server.getDivision(getGroupId()).getInfo().getCurrentTerm();
        long timestampMs;
        synchronized (lock) {
            long tableTimeMs = Math.max(leases.tableTimeMs(), versions.tableTimeMs());
            timestampMs = leaderClock.timestampMs(term, tableTimeMs, clock.getAsLong());
        }
        return TransactionContext.newBuilder()
                .setStateMachine(this)
                .setClientRequest(request)
                .setLogData(LeaseCodec.encodeCommand(command.stamped(timestampMs)))
                .build();
    }

    /**
     * Called on every member for each log entry, in log order. The leader validated the command before it was appended,
     * so a command that cannot be decoded was written by another release; it is skipped.
     */
    @Override
    public CompletableFuture<Message> applyTransaction(TransactionContext transaction) {
        LogEntryProto entry = transaction.getLogEntry();
        ByteString data = entry.getStateMachineLogEntry().getLogData();
        GroupCommand command;
        try {
            command = LeaseCodec.decodeCommand(data);
        } catch (IOException e) {
            updateLastAppliedTermIndex(entry.getTerm(), entry.getIndex());
            return CompletableFuture.failedFuture(e);
        }
        ByteString outcome = command instanceof GroupCommand.VersionCommand versionCommand
                ? LeaseCodec.encodeOutcome(applyVersionCommand(versionCommand.command(), entry))
                : LeaseCodec.encodeOutcome(applyLeaseCommand(((GroupCommand.LeaseCommand) command).command(), entry));
        return CompletableFuture.completedFuture(Message.valueOf(outcome));
    }

    private LeaseTable.Outcome applyLeaseCommand(LeaseTable.Command command, LogEntryProto entry) {
        LeaseTable.Outcome outcome;
        synchronized (lock) { // updated together: a snapshot must contain the command and its index, or neither
            outcome = leases.apply(command);
            updateLastAppliedTermIndex(entry.getTerm(), entry.getIndex());
        }
        if (outcome.granted() && command.operation() == LeaseTable.Operation.PUBLISH) {
            listener.published(command.lease(), command.value());
        } else if (outcome.granted() && command.operation() == LeaseTable.Operation.RELEASE) {
            listener.released(command.lease());
        }
        return outcome;
    }

    private VersionTable.Outcome applyVersionCommand(VersionTable.Command command, LogEntryProto entry) {
        VersionTable.Outcome outcome;
        boolean changed;
        synchronized (lock) {
            Optional<ConfigurationVersion> pendingBefore = versions.pending();
            VersionTable.Decision decisionBefore = versions.lastDecision();
            outcome = versions.apply(command);
            changed = !pendingBefore.equals(versions.pending()) || !decisionBefore.equals(versions.lastDecision());
            updateLastAppliedTermIndex(entry.getTerm(), entry.getIndex());
        }
        if (changed) {
            listener.versionsChanged();
        }
        return outcome;
    }

    /** Notifies the listener that a request of this member timed out. Thread-safe. */
    void requestTimedOut(long timeoutMs, long count) {
        listener.requestTimedOut(timeoutMs, count);
    }

    /** Notifies the listener of a follower that keeps refusing entries of this leader. Thread-safe. */
    void followerRefused(FollowerRefusals.Refusal refusal) {
        listener.followerRefused(refusal);
    }

    /** Returns the configuration versions that this member has applied. Thread-safe. */
    public VersionView versions() {
        synchronized (lock) {
            return new VersionView(
                    versions.latest(), versions.pending(), versions.lastDecision(), versions.committed());
        }
    }
}
