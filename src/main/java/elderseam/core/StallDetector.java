package elderseam.core;

/**
 * The governor of late turns, without I/O: from a beat that is due at known times it tells whether its thread was away
 * (suspended, starved of its core, or busy with one thing), and until when nothing may be decided. While late, what has
 * arrived is read first: an answer that waits in its socket must count before a timer that says there is none. The time
 * away is handed out once, so that calls are not called hung for time in which nobody looked. One thread owns it.
 */
public final class StallDetector {
    /** How often the beat is due. */
    public static final long BEAT_NS = 25 * Clock.MS;
    /** Lateness of a beat below this is nothing: timers are in whole milliseconds and one turn may take some. */
    public static final long BOUND_NS = 50 * Clock.MS;

    private long due;
    private boolean late;
    private long away, longest;

    public StallDetector(long now) {
        due = now + BEAT_NS;
    }

    /** Something happens. True while what has arrived is to be read before anything is decided. */
    public boolean late(long now) {
        long by = now - due;
        if (by > BOUND_NS) {
            late = true;
            away += by;
            longest = Math.max(longest, by);
            due = now + BEAT_NS; // counted; the beat itself will still come, and is early then
        }
        return late;
    }

    /** The beat has come; when the next is due. */
    public long beat(long now) {
        late(now);
        due = now + BEAT_NS;
        return due;
    }

    /** All that had arrived has been read. The nanoseconds away since the last time this was told. */
    public long caughtUp() {
        long was = away;
        late = false;
        away = 0;
        return was;
    }

    /** The longest silence so far, in nanoseconds. */
    public long longest() {
        return longest;
    }
}
