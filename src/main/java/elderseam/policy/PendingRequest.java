package elderseam.policy;

import java.util.HashMap;
import java.util.Map;

/** An accepted request that is not finished, or is finished with attempts still in flight. Holds state only. */
final class PendingRequest {
    final PolicyRequest message;
    final RequestClass requestClass;
    final DestinationState destination;
    /** The requests of the same ordering key; null if the request has no ordering key. */
    final OrderedKeyQueue keyQueue;

    final double priorityWeight;
    /** When the client first submitted the request, in nanoseconds of the host's clock. */
    final long createdAt;
    /** Sequence number in the order of arrival. */
    final long sequence;
    /** Attempts in flight, by attempt number. */
    final Map<Integer, AttemptRecord> inFlight = new HashMap<>(2);

    int attempts;
    boolean finished;
    /** Whether an attempt may have taken effect. */
    boolean mayHaveRun;
    /** The zone of the first attempt that may have run; {@link PolicyEvents#UNKNOWN_ZONE} if it is not known. */
    int keyZone;
    /** The time until which the destination recognizes the idempotency key. */
    long keyValidUntil;
    /** No attempt starts before this time. */
    long notBefore;

    EndpointState lastEndpoint;
    /** The priority as of the last comparison, see {@link LoadShedder#priority}. */
    double priority;
    /** The first turn that decides on the request; the client is notified of the acceptance no earlier. */
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

    /**
     * The value of a delivery at that time: the full priority weight within the latency objective, decreasing after
     * it, and 0 from the deadline on.
     */
    double valueAt(long time, PolicySettings settings) {
        if (time >= message.deadline()) {
            return 0;
        }
        long objectiveNs = requestClass.latencyObjectiveNs();
        double lateness = Math.max(0, (double) (time - createdAt - objectiveNs) / objectiveNs);
        if (settings.halvesWhenLate()) {
            return priorityWeight * Math.max(requestClass.lateWeight(), Math.pow(0.5, lateness));
        }
        double maxLateness = (double) (requestClass.deadlineNs() - objectiveNs) / objectiveNs;
        double latenessRatio = Math.min(1, lateness / Math.max(1e-9, maxLateness));
        return priorityWeight * (1 - (1 - requestClass.lateWeight()) * latenessRatio);
    }

    /** Whether this request and at least one other wait for the same destination. */
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
