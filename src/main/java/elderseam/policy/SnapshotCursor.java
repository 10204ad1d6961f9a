package elderseam.policy;

/**
 * Passes the values of a snapshot, one after another in a fixed order. One that writes returns what it is given; one
 * that reads returns what was written, with times moved to its own clock.
 */
public interface SnapshotCursor {
    /** Passes an integer. */
    long integer(long value);

    /** Passes a floating-point number. */
    double real(double value);

    /** Passes a time of the clock; what is far from any time of it (none, never) passes as it is. */
    long time(long value);

    /**
     * The end of a Retry-After, by the clock; in a process that begins anew it is past, as a restart ends each wait.
     */
    default long waitEnd(long time) {
        return time;
    }

    /** Passes a string. */
    String text(String value);

    /** Passes a boolean, as an integer. */
    default boolean flag(boolean value) {
        return integer(value ? 1 : 0) == 1;
    }
}
