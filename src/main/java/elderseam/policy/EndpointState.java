package elderseam.policy;

/** A listed endpoint. Plain state; confined to the policy's thread. */
final class EndpointState {
    static final long NEVER = Long.MIN_VALUE / 2;

    /** How long hosts listen to the answer of a call that was given up, and somewhat more. */
    private static final long LATE_ANSWER_NS = 1_500_000_000L;

    final String address;
    final int zone;
    final EndpointGroup group;
    final DestinationState destination;

    boolean ready;
    /** No longer listed; {@link EndpointDirectory} says until when it is known. */
    boolean removed;
    /** When it left the list; {@link #NEVER} while it is listed. */
    long removedAt = NEVER;
    /** Until when a call that was given up may still be answered, with a Retry-After. */
    long lateAnswersUntil = NEVER;
    /** Whether it was listed before: one that first comes as draining has served, too. */
    boolean listedBefore;
    /** This sender's own preference, in calls in flight: lower is preferred. */
    double bias;
    /** Whether it is outside of this sender's subset. */
    boolean outsideSubset;

    int inFlight;
    /** When its last call ended, unless its idle connections were closed since. */
    long lastUsedAt = NEVER;
    /** Failures since the last delivery, by class of request. */
    final int[] failures;
    /** Until when it is ejected, by class of request. */
    final long[] ejectedUntil;
    /** The call that the requests of this turn may join; null before the first. */
    AttemptRecord batch;
    /** When it came back into service; 0 if it never left. */
    long coldSince;
    /** Earliest start of the next call while it warms up. */
    long nextColdCallAt;

    EndpointState(String address, int zone, DestinationState destination, EndpointGroup group, int classes) {
        this.address = address;
        this.zone = zone;
        this.destination = destination;
        this.group = group;
        this.failures = new int[classes];
        this.ejectedUntil = new long[classes];
    }

    /** A call there has ended so. */
    void onCallEnded(AttemptResult result, long now) {
        if (result == AttemptResult.CANCELLED || result == AttemptResult.TIMEOUT) {
            lateAnswersUntil = now + LATE_ANSWER_NS;
        }
    }

    /** A request of that class was delivered. */
    void clearFailures(int requestClass) {
        failures[requestClass] = 0;
        ejectedUntil[requestClass] = 0;
    }
}
