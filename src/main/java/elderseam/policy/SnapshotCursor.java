package elderseam.policy;

/**
 * Writes or reads the values of a snapshot, one after another in a fixed order. A writing cursor stores each argument
 * and returns it; a reading cursor ignores the argument and returns the stored value, with times converted to its own
 * clock.
 */
public interface SnapshotCursor {
    /** Writes or reads an integer. */
    long integer(long value);

    /** Writes or reads a floating-point number. */
    double real(double value);

    /**
     * Writes or reads a time of the clock. A value far outside the range of the clock, which stands for "none" or
     * "never", is not converted.
     */
    long time(long value);

    /**
     * The end of a wait, such as a Retry-After, as a time of the clock. A restarted process returns a time in the past,
     * since a restart ends each wait.
     */
    default long waitEnd(long time) {
        return time;
    }

    /** Writes or reads a string. */
    String text(String value);

    /** Writes or reads a boolean, as an integer. */
    default boolean flag(boolean value) {
        return integer(value ? 1 : 0) == 1;
    }
}
