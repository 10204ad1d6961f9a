package elderseam.testkit.gossip;

/** A message that a simulated dispatcher has accepted, until it is delivered, refused or failed. */
final class PendingMessage {
    /** The value of {@link #currentAttempt} while no call is under way. */
    static final int NO_ATTEMPT = -1;

    final String id;
    final int requestClass; // index
    final long destination;
    final long createdNs;
    final long deadlineNs;
    int attempts;
    int currentAttempt = NO_ATTEMPT;
    boolean mayHaveRun; // an earlier attempt failed after the destination may have executed it

    PendingMessage(String id, int requestClass, long destination, long createdNs, long deadlineNs) {
        this.id = id;
        this.requestClass = requestClass;
        this.destination = destination;
        this.createdNs = createdNs;
        this.deadlineNs = deadlineNs;
    }

    /** The same message as its client hands it in again, without the attempts made so far. */
    PendingMessage resubmitted() {
        return new PendingMessage(id, requestClass, destination, createdNs, deadlineNs);
    }

    boolean isInFlight() {
        return currentAttempt != NO_ATTEMPT;
    }
}
