package elderseam.core;

/**
 * What the journal holds of a message's attempts. Times are milliseconds of the steady clock, 0 for none; zones are the names
 * of endpoints' zones, empty for none and for one that is not known.
 *
 * @param attempts their number
 * @param firstMayHaveRunMs when the first attempt that may have run began
 * @param attemptBeganMs when the attempt in flight began
 * @param firstMayHaveRunZone the zone of the first attempt that may have run
 * @param attemptZone the zone of the attempt in flight
 */
record AttemptHistory(
        int attempts, long firstMayHaveRunMs, long attemptBeganMs, String firstMayHaveRunZone, String attemptZone) {
    private static final long NEVER = 0;

    /** No attempt yet. */
    static final AttemptHistory NONE = new AttemptHistory(0, NEVER, NEVER, "", "");

    /** Whether an attempt is in flight. */
    boolean hasAttemptInFlight() {
        return attemptBeganMs != NEVER;
    }

    /** Whether an attempt that has ended may have run. */
    boolean mayHaveRun() {
        return firstMayHaveRunMs != NEVER;
    }

    /** Returns this history after the start of an attempt. A previous one whose end was never recorded may have run. */
    AttemptHistory afterStart(long steadyMs, String zone) {
        AttemptHistory earlier = hasAttemptInFlight() ? afterEnd(true) : this;
        return new AttemptHistory(attempts + 1, earlier.firstMayHaveRunMs, steadyMs, earlier.firstMayHaveRunZone, zone);
    }

    /** Returns this history after the end of the attempt in flight. */
    AttemptHistory afterEnd(boolean attemptMayHaveRun) {
        boolean first = attemptMayHaveRun && !mayHaveRun();
        return new AttemptHistory(
                attempts,
                first ? attemptBeganMs : firstMayHaveRunMs,
                NEVER,
                first ? attemptZone : firstMayHaveRunZone,
                "");
    }
}
