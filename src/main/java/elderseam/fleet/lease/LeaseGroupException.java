package elderseam.fleet.lease;

/**
 * Thrown if this member does not know that the lease group has executed a request: there was no majority or no leader
 * in time, the group rejected the request, or its reply could not be decoded. A request without a reply may still have
 * taken effect.
 */
public final class LeaseGroupException extends RuntimeException {
    private static final long serialVersionUID = 1;

    LeaseGroupException(String message) {
        super(message);
    }

    LeaseGroupException(String message, Throwable cause) {
        super(message, cause);
    }

    LeaseGroupException(Throwable cause) {
        super(cause);
    }
}
