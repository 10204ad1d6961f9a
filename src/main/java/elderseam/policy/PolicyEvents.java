package elderseam.policy;

import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Predicate;

/**
 * The events that a host reports to a policy. Times are nanoseconds of the host's clock, which may start at any value
 * and never runs backwards. Events at the same time form a turn, closed by {@link #turnEnd}; attempts start only there.
 * All calls must come from one thread.
 *
 * <p>A time before that of the last event, or a request with the id of a pending one, throws IllegalArgumentException.
 * The id of a request that is no longer pending, and a late timer, are ignored.
 */
public interface PolicyEvents {
    /** The endpoint list changed, was received in full, or could not be fetched. The entries are copied. */
    void endpoints(long now, ListUpdateKind kind, List<ListedEndpoint> entries);

    /** The zone of an attempt that is not known: it may have run in any. */
    int UNKNOWN_ZONE = -1;

    /** A request was accepted. It gets exactly one final outcome: delivered, rejected, failed or withdrawn. */
    void request(long now, PolicyRequest request);

    /**
     * A request that an earlier process of this sender had accepted was recovered.
     *
     * @param attempts number of attempts made so far
     * @param mayHaveRun whether one of them may have taken effect
     * @param keyValidUntil if one of them may have taken effect and the request has an idempotency key: the time until
     *     which it may be attempted again
     * @param keyZone if one of them may have taken effect: the zone of the first such attempt, or {@link #UNKNOWN_ZONE}
     */
    void restored(long now, PolicyRequest request, int attempts, boolean mayHaveRun, long keyValidUntil, int keyZone);

    /** The zone of a listed endpoint; {@link #UNKNOWN_ZONE} if it is not listed. */
    int zoneOf(String endpoint);

    /**
     * Appends a request that the policy does not know to its ordering key; it blocks the later requests of the key
     * until {@link #settled}. The request is of an ordered class, was accepted and is not settled, for one of three
     * reasons: an earlier process left it and it is yet to be {@link #restored}; it is a duplicate of another request,
     * which is attempted in its place; or its client has yet to receive the final outcome.
     */
    void reserved(long now, long orderKey, String id);

    /**
     * The client of that request has received its rejection or failure, or none is due: the next request of its
     * ordering key may be attempted. The host must report this for each request with an ordering key that the policy
     * rejected or failed, and for each one that was {@link #reserved}; for any other request it is ignored.
     */
    void settled(long now, String id);

    /**
     * Attempts of an earlier process may have ended just now with an unknown outcome: every ordering key rests, that
     * is, starts no attempt for a time. Must be called before any request is reported.
     */
    void restOrderingKeys(long now);

    /** The state of the ordering key of a request that is not settled. */
    OrderedKeyView orderedKey(long now, String id);

    /** Numbers of ordering keys and of their unsettled requests. */
    OrderedKeyCounts orderedKeys(long now);

    /**
     * The last attempt of a restored request is still in flight in another process of this sender; its outcome will be
     * reported by {@link #outcome}.
     */
    void adopted(long now, String id, String endpoint, long start);

    /**
     * Writes or reads a snapshot of the learned state of the endpoints, their breakers and rates, and the tenants. A
     * snapshot is read into a new policy before any other event.
     */
    void transfer(long now, SnapshotCursor snapshot);

    /**
     * Whether that destination has an endpoint, or had one within the longest deadline of any class. A host should not
     * accept requests for other destinations.
     */
    boolean serves(long now, long destination);

    /** The process will end at that time: an attempt that is unlikely to be answered before is not started. */
    void shutdownScheduled(long now, long end);

    /** An attempt ended. The host reports this exactly once for each send; a repeated report is ignored. */
    void outcome(long now, CompletedAttempt attempt);

    /** A response arrived for an attempt that had already ended without one; reports its Retry-After and limit. */
    void lateAnswer(long now, String endpoint, long retryAfterNs, LimitReport report);

    /**
     * An endpoint asked that its destination is not called for that long, in a response that need not be the answer to
     * any attempt. A longer wait that is in force stays.
     */
    void retryAfter(long now, String endpoint, long waitNs);

    /** The host stalled for that long and did not read from the network; that time does not make calls overdue. */
    void hostStalled(long now, long stallNs);

    /**
     * Whether an attempt that was decided earlier may start now: its endpoint is ready, no Retry-After is in force and,
     * if an earlier attempt may have run, a retry at that endpoint is still allowed.
     */
    boolean mayStart(long now, String id, String endpoint);

    /** Passes the id and the breaker of every listed destination to the consumer. */
    void forEachBreaker(long now, BiConsumer<Long, BreakerView> consumer);

    /** Numbers of endpoints in the list that is in use. */
    EndpointCounts endpointCounts(long now);

    /**
     * The health that other senders report for a destination; valid until the next report.
     *
     * @param suspicion 0 to 1: by how much it reduces the own evidence needed to trip the breaker; it never trips the
     *     breaker alone
     * @param returningSenders how many senders will probably call it when it recovers; a sleep window grows with this
     *     number as it does with the number of senders, and never becomes shorter by it
     */
    void peerHealthReported(long now, long destination, double suspicion, double returningSenders);

    /**
     * This sender's share of the total load; valid until the next change.
     *
     * @param senderCount the number by which the limits of destinations and the quotas of tenants are divided
     * @param preferred matches the addresses of the endpoints in this sender's subset; other endpoints are called if
     *     the preferred ones can't be called or have many more calls in flight, so that no request waits for a
     *     preferred one
     * @param retryRatio retries allowed for each first attempt at a destination, 1 or more for no limit; the same for
     *     every sender
     */
    void shareChanged(long now, int senderCount, Predicate<String> preferred, double retryRatio);

    /** The client has withdrawn the request: no other final outcome is due. */
    void withdrawn(long now, String id);

    /** A timer that the policy requested is due. */
    void timer(long now, long token);

    /** All events of this time have been reported: the policy makes its decisions. */
    void turnEnd(long now);
}
