package elderseam.policy;

import java.util.HashMap;
import java.util.Map;

/** A request that is taken on and not finished, or finished with attempts in flight. Plain state. */
final class PendingRequest {
    final PolicyRequest message;
    final RequestClass requestClass;
    final DestinationState destination;
    /** The requests of the same ordering key; null where it has none. */
    final OrderedKeyQueue keyQueue;

    final double priorityWeight;
    /** When the client handed it in first, in nanoseconds of the clock. */
    final long createdAt;
    /** Counts the requests in the order of their arrival. */
    final long sequence;
    /** Attempts in flight, by number. */
    final Map<Integer, AttemptRecord> inFlight = new HashMap<>(2);

    int attempts;
    boolean finished;
    /** Whether an attempt may have taken effect. */
    boolean mayHaveRun;
    /** The zone of the first attempt that may have run. */
    int keyZone;
    /** Until when the destination knows the idempotency key. */
    long keyValidUntil;
    /** No attempt begins before this time. */
    long notBefore;

    EndpointState lastEndpoint;
    /** What a slot is worth to it, as of the last time it was compared. */
    double priority;
    /** The turn that decides on it first: before that its client has not been told that it is accepted. */
    long firstTurn;

    PendingRequest(
            PolicyRequest message,
            RequestClass requestClass,
            DestinationState destination,
            OrderedKeyQueue keyQueue,
            double priorityWeight,
            long sequence) {
        this.message = message;
        this.requestClass = requestClass;
        this.destination = destination;
        this.keyQueue = keyQueue;
        this.priorityWeight = priorityWeight;
        this.createdAt = message.deadline() - requestClass.deadlineNs();
        this.sequence = sequence;
    }

    /** What delivery at that time is worth: all within the latency objective, then less, nothing after the deadline. */
    double worthAt(long time, PolicySettings settings) {
        if (time >= message.deadline()) {
            return 0;
        }
        long objectiveNs = requestClass.latencyObjectiveNs();
        double late = Math.max(0, (double) (time - createdAt - objectiveNs) / objectiveNs);
        if (settings.halvesWhenLate()) {
            return priorityWeight * Math.max(requestClass.lateWeight(), Math.pow(0.5, late));
        }
        double span = (double) (requestClass.deadlineNs() - objectiveNs) / objectiveNs;
        double spent = Math.min(1, late / Math.max(1e-9, span));
        return priorityWeight * (1 - (1 - requestClass.lateWeight()) * spent);
    }

    /** Whether it waits, and others do for the same destination. */
    boolean waitsWithOthers() {
        return destination.waiting.size() > 1 && destination.waiting.contains(this);
    }

    boolean isSafe() {
        return requestClass.idempotency() == Idempotency.SAFE;
    }

    boolean isKeyed() {
        return requestClass.idempotency() == Idempotency.KEYED;
    }

    boolean isUnsafe() {
        return requestClass.idempotency() == Idempotency.UNSAFE;
    }
}
