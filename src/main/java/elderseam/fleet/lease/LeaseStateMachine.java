package elderseam.fleet.lease;

import elderseam.fleet.config.ConfigurationVersion;
import elderseam.fleet.config.VersionTable;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.util.List;
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
 * The lease table inside Apache Ratis. The leader stamps each command as it takes it in ({@link #startTransaction}), so that
 * every member applies the same time with the same command; the table then decides by the log alone. After a restart the
 * engine gives back the latest snapshot and replays the log behind it, and the table comes back as it was.
 *
 * <p>The engine's one applying thread changes the table; whoever else reads it (a stamp, a snapshot) takes the same lock.
 */
public final class LeaseStateMachine extends BaseStateMachine {
    /** The versions as this member has them applied, which may be behind the group's. */
    public record Versions(
            ConfigurationVersion latest,
            ConfigurationVersion pending,
            VersionTable.Ended ended,
            List<ConfigurationVersion> all) {}

    private final LeaseTable table = new LeaseTable();
    private final VersionTable versions = new VersionTable(); // under the table's lock too: one clock stamps both
    private final LeaderClock leading = new LeaderClock();
    private final LongSupplier clock;
    private final Watch watch;
    private final SimpleStateMachineStorage storage = new SimpleStateMachineStorage();
    private RaftServer server;

    /** Told of what the whole group learns, on the engine's threads; passes over what is not asked for. */
    public interface Watch {
        /** Who leads. */
        default void led(String by) {}

        /** What the holder of a lease has published under it; told again after a restart, oldest first. */
        default void published(String lease, String value) {}

        /** A lease was given back before its end. */
        default void freed(String lease) {}

        /** A version was proposed, committed or refused. */
        default void versions() {}
    }

    /**
     * {@code clock}: the member's monotonic clock in nanoseconds, an argument so that a rehearsal can make it run fast or
     * slow.
     */
    public LeaseStateMachine(LongSupplier clock, Watch watch) {
        this.clock = clock;
        this.watch = watch;
    }

    @Override
    public void initialize(RaftServer server, RaftGroupId group, RaftStorage kept) throws IOException {
        super.initialize(server, group, kept);
        this.server = server;
        storage.init(kept);
        getLifeCycle().startAndTransition(this::load, IOException.class);
    }

    /** Before a snapshot of the leader's takes the table's place; the engine ends a member whose machine does not say that it pauses. */
    @Override
    public void pause() {
        getLifeCycle().transition(LifeCycle.State.PAUSING);
        getLifeCycle().transition(LifeCycle.State.PAUSED);
    }

    @Override
    public void reinitialize() throws IOException {
        getLifeCycle().startAndTransition(this::load, IOException.class);
    }

    private void load() throws IOException {
        SingleFileSnapshotInfo snapshot = storage.loadLatestSnapshot();
        if (snapshot != null) {
            LeaseCodec.Images images =
                    LeaseCodec.images(Files.readAllBytes(snapshot.getFile().getPath()));
            synchronized (table) {
                table.restore(images.leases());
                if (images.versions() != null) {
                    versions.restore(images.versions());
                }
            }
            setLastAppliedTermIndex(snapshot.getTermIndex());
            images.leases().published().forEach(watch::published);
            watch.versions();
        }
    }

    /** The table as it stands, in one file; the engine then drops the log up to there. */
    @Override
    public long takeSnapshot() throws IOException {
        TermIndex last;
        LeaseCodec.Images images;
        synchronized (table) {
            last = getLastAppliedTermIndex();
            images = new LeaseCodec.Images(table.image(), versions.image());
        }
        File file = storage.getSnapshotFile(last.getTerm(), last.getIndex());
        Files.write(file.toPath(), LeaseCodec.encode(images));
        FileInfo info = new FileInfo(file.toPath(), MD5FileUtil.computeAndSaveMd5ForFile(file));
        storage.updateLatestSnapshot(new SingleFileSnapshotInfo(info, last));
        return last.getIndex();
    }

    @Override
    public StateMachineStorage getStateMachineStorage() {
        return storage;
    }

    @Override
    public void notifyLeaderChanged(RaftGroupMemberId member, RaftPeerId led) {
        watch.led(led.toString());
    }

    @Override
    public TransactionContext startTransaction(RaftClientRequest request) throws IOException {
        ByteString content = request.getMessage().getContent();
        boolean onVersions = LeaseCodec.isVersions(content);
        LeaseTable.Command command = onVersions ? null : LeaseCodec.command(content);
        VersionTable.Command version = onVersions ? LeaseCodec.versions(content) : null;
        long term = server.getDivision(getGroupId()).getInfo().getCurrentTerm(), stamp;
        synchronized (table) {
            stamp = leading.stamp(term, Math.max(table.now(), versions.now()), clock.getAsLong());
        }
        return TransactionContext.newBuilder()
                .setStateMachine(this)
                .setClientRequest(request)
                .setLogData(
                        onVersions
                                ? LeaseCodec.encodeVersions(version.stamped(stamp))
                                : LeaseCodec.encode(command.stamped(stamp)))
                .build();
    }

    @Override
    public CompletableFuture<Message> applyTransaction(TransactionContext trx) {
        LogEntryProto entry = trx.getLogEntry();
        ByteString data = entry.getStateMachineLogEntry().getLogData();
        try {
            if (LeaseCodec.isVersions(data)) {
                return CompletableFuture.completedFuture(
                        Message.valueOf(LeaseCodec.encode(apply(LeaseCodec.versions(data), entry))));
            }
            LeaseTable.Command command = LeaseCodec.command(data);
            LeaseTable.Outcome outcome;
            synchronized (table) { // the index moves with the table: a snapshot must tell of both or neither
                outcome = table.apply(command);
                updateLastAppliedTermIndex(entry.getTerm(), entry.getIndex());
            }
            if (outcome.granted() && command.op() == LeaseTable.Op.PUBLISH) {
                watch.published(command.name(), command.value());
            } else if (outcome.granted() && command.op() == LeaseTable.Op.RELEASE) {
                watch.freed(command.name());
            }
            return CompletableFuture.completedFuture(Message.valueOf(LeaseCodec.encode(outcome)));
        } catch (IOException e) {
            // A leader checked the command before it entered the log, so this is a log written by another version.
            updateLastAppliedTermIndex(entry.getTerm(), entry.getIndex());
            return CompletableFuture.failedFuture(e);
        }
    }

    private VersionTable.Outcome apply(VersionTable.Command command, LogEntryProto entry) {
        VersionTable.Outcome outcome;
        boolean news;
        synchronized (table) {
            ConfigurationVersion pending = versions.pending();
            VersionTable.Ended ended = versions.ended();
            outcome = versions.apply(command);
            news = pending != versions.pending() || !ended.equals(versions.ended());
            updateLastAppliedTermIndex(entry.getTerm(), entry.getIndex());
        }
        if (news) {
            watch.versions();
        }
        return outcome;
    }

    /** The versions as they stand here. */
    public Versions versions() {
        synchronized (table) {
            return new Versions(versions.latest(), versions.pending(), versions.ended(), versions.all());
        }
    }
}
