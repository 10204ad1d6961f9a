package elderseam.fleet.lease;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import org.apache.ratis.proto.RaftProtos.LogEntryProto;
import org.apache.ratis.protocol.Message;
import org.apache.ratis.protocol.RaftClientRequest;
import org.apache.ratis.statemachine.TransactionContext;
import org.apache.ratis.statemachine.impl.BaseStateMachine;

/**
 * The lease table inside Apache Ratis. The leader stamps each command with its wall clock as it takes it in
 * ({@link #startTransaction}), so that every member applies the same time with the same command; the table then decides by
 * the log alone. After a restart the engine replays the log kept in the member's folder, and the table comes back as it was.
 *
 * <p>The engine's one applying thread owns the table; a read ({@link #query}) takes the same lock.
 */
public final class LeaseMachine extends BaseStateMachine {
    private final LeaseTable table = new LeaseTable();
    private final LongSupplier wallMs;

    /** {@code wallMs}: the member's wall clock in milliseconds, an argument so that the rig can make it run fast or slow. */
    public LeaseMachine(LongSupplier wallMs) {
        this.wallMs = wallMs;
    }

    @Override
    public TransactionContext startTransaction(RaftClientRequest request) throws IOException {
        LeaseTable.Command command = LeaseCodec.command(request.getMessage().getContent());
        return TransactionContext.newBuilder().setStateMachine(this).setClientRequest(request)
                .setLogData(LeaseCodec.encode(command.stamped(wallMs.getAsLong()))).build();
    }

    @Override
    public CompletableFuture<Message> applyTransaction(TransactionContext trx) {
        LogEntryProto entry = trx.getLogEntry();
        LeaseTable.Outcome outcome;
        try {
            LeaseTable.Command command = LeaseCodec.command(entry.getStateMachineLogEntry().getLogData());
            synchronized (table) {
                outcome = table.apply(command);
            }
        } catch (IOException e) {
            // A leader checked the command before it entered the log, so this is a log written by another version.
            updateLastAppliedTermIndex(entry.getTerm(), entry.getIndex());
            return CompletableFuture.failedFuture(e);
        }
        updateLastAppliedTermIndex(entry.getTerm(), entry.getIndex());
        return CompletableFuture.completedFuture(Message.valueOf(LeaseCodec.encode(outcome)));
    }

    /** A read: the content is a lease's name; the answer the lease as this member's table stands (holder "" if none). */
    @Override
    public CompletableFuture<Message> query(Message request) {
        String name = request.getContent().toStringUtf8();
        LeaseTable.Lease lease;
        long now;
        synchronized (table) {
            lease = table.holder(name);
            now = table.now();
        }
        LeaseTable.Outcome outcome = lease == null ? new LeaseTable.Outcome(false, "", 0, now, 0)
                : new LeaseTable.Outcome(true, lease.holder(), lease.token(), lease.untilMs(), Math.max(0, lease.untilMs() - now));
        return CompletableFuture.completedFuture(Message.valueOf(LeaseCodec.encode(outcome)));
    }
}
