package elderseam.policy;

/** The state of an endpoint that is or was listed. Plain state; confined to the policy's thread. */
final class EndpointState {
    static final long NEVER = Long.MIN_VALUE / 2;

    /** Time in which a late answer to an abandoned call may arrive: slightly longer than hosts wait for it. */
    private static final long LATE_ANSWER_NS = 1_500_000_000L;

    final String address;
    final int zone;
    final EndpointGroup group;
    final DestinationState destination;

    boolean ready;
    /** Whether it is no longer listed; {@link EndpointDirectory} decides how long its state is retained. */
    boolean removed;
    /** Time of its removal from the list; {@link #NEVER} while it is listed. */
    long removedAt = NEVER;
    /** Time until which a late answer to an abandoned call may still carry a Retry-After. */
    long lateAnswersUntil = NEVER;
    /** Whether it has been listed with any status; an endpoint first listed as draining has already served calls. */
    boolean listedBefore;
    /** Random preference of this sender, in units of one call in flight; the lowest is preferred. */
    double bias;
    /** Whether it is outside this sender's subset. */
    boolean outsideSubset;

    int inFlight;
    /** End of its last call; {@link #NEVER} if there was none or its idle connections were closed since. */
    long lastUsedAt = NEVER;
    /** Failures since the last delivery, by class of request. */
    final int[] failures;
    /** End of its ejection, by class of request. */
    final long[] ejectedUntil;
    /** The newest call, which other requests of the same turn may join; null before the first call. */
    AttemptRecord batch;
    /** Time of its last return to service; 0 if it was never out of service. */
    long coldSince;
    /** Earliest start of the next call while it is warming up. */
    long nextColdCallAt;

    EndpointState(String address, int zone, DestinationState destination, EndpointGroup group, int classes) {
        this.address = address;
        this.zone = zone;
        this.destination = destination;
        this.group = group;
        this.failures = new int[classes];
        this.ejectedUntil = new long[classes];
    }

    /** Records the result of a call to this endpoint. */
    void onCallEnded(AttemptResult result, long now) {
        if (result == AttemptResult.CANCELLED || result == AttemptResult.TIMEOUT) {
            lateAnswersUntil = now + LATE_ANSWER_NS;
        }
    }

    /** Ends the ejection for a class after a delivered request of this class. */
    void clearFailures(int requestClass) {
        failures[requestClass] = 0;
        ejectedUntil[requestClass] = 0;
    }
}
