package elderseam.core;

/**
 * Detects stalls of the event-loop thread (process suspended, no CPU time, or one long task) from a heartbeat that is
 * due at known times; does no I/O. During a stall no decision may be made until all pending input has been read: a
 * response that already waits in its socket must count before a timeout that assumes there is none. The stall time is
 * reported only once, so that no attempt is treated as hung for a period in which its response could not be read.
 * Confined to the event-loop thread.
 */
public final class StallDetector {
    /** Interval between heartbeats, in nanoseconds. */
    public static final long HEARTBEAT_INTERVAL_NS = 25 * Clock.MILLISECOND_NS;

    /**
     * A heartbeat delayed by no more than this is not a stall: timers have millisecond resolution, and a single task
     * may take some milliseconds.
     */
    public static final long STALL_THRESHOLD_NS = 50 * Clock.MILLISECOND_NS;

    private long nextHeartbeat;
    private boolean stalled;
    private long unreportedStallNs;
    private long longestStallNs;

    /**
     * Creates a detector whose first heartbeat is due after one interval.
     *
     * @param now the time of {@link Clock#now}, as in every method
     */
    public StallDetector(long now) {
        nextHeartbeat = now + HEARTBEAT_INTERVAL_NS;
    }

    /**
     * Checks for a stall; to be called on every event. Returns true while pending input must be read before any
     * decision.
     */
    public boolean isStalled(long now) {
        long delayNs = now - nextHeartbeat;
        if (delayNs > STALL_THRESHOLD_NS) {
            stalled = true;
            unreportedStallNs += delayNs;
            longestStallNs = Math.max(longestStallNs, delayNs);
            // this delay is counted now, so the late heartbeat must not count it again
            nextHeartbeat = now + HEARTBEAT_INTERVAL_NS;
        }
        return stalled;
    }

    /** Records a heartbeat. Returns the time at which the next one is due. */
    public long heartbeat(long now) {
        isStalled(now);
        nextHeartbeat = now + HEARTBEAT_INTERVAL_NS;
        return nextHeartbeat;
    }

    /**
     * Ends the stall, after all pending input has been read. Returns the stall time since the last call, in
     * nanoseconds.
     */
    public long endStall() {
        long stallNs = unreportedStallNs;
        stalled = false;
        unreportedStallNs = 0;
        return stallNs;
    }

    /** The longest stall so far, in nanoseconds. */
    public long longestStallNs() {
        return longestStallNs;
    }
}
