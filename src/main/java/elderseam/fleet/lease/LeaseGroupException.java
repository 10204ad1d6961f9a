package elderseam.fleet.lease;

/**
 * A request that the lease group did not carry out, as far as this member knows: there was no majority or no leader in
 * time, the group rejected the request, or its answer could not be read. A request without an answer may have taken
 * effect all the same.
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
