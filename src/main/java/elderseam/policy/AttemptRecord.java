package elderseam.policy;

import java.util.ArrayList;
import java.util.List;

/** A call in flight, shared by the requests of a batch. Each call occupies one ticket and one slot. Plain state. */
final class AttemptRecord {
    final EndpointGroup group;
    final EndpointState endpoint;
    final long start;
    /** The turn in which the call began. Further requests may join its batch in this turn only. */
    final long turn;
    /** Number of calls that the group had delivered when this call began. */
    final long deliveredCallsAtStart;

    final List<PendingRequest> requests = new ArrayList<>(1);
    /** Number of requests without an outcome so far. */
    int pendingOutcomes;
    /** Whether an outcome of this call has been counted; the outcome of a batch counts once. */
    boolean recorded;

    boolean overdue;
    /** Overdue for so long that no answer is expected. */
    boolean presumedLost;
    /** Whether this call was counted as a lost answer. */
    boolean countedAsLost;

    boolean cancelled;
    /** Time since the start of the call in which the host did not read answers, in nanoseconds. */
    long stalledNs;
    /** Idle time of the connection before this call, in nanoseconds; 0 for a new connection or one in use. */
    long idleNs;

    AttemptRecord(EndpointState endpoint, long start, long turn) {
        this.group = endpoint.group;
        this.endpoint = endpoint;
        this.start = start;
        this.turn = turn;
        this.deliveredCallsAtStart = group.latency.deliveredCalls;
    }
}
