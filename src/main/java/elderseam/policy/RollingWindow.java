package elderseam.policy;

import java.util.Arrays;

/** Counts of calls and failures over the last ten seconds, in buckets of one second. Not thread-safe. */
final class RollingWindow {
    static final long BUCKET_NS = PolicyContext.SECOND_NS;
    static final int BUCKETS = 10;
    static final long LENGTH_NS = BUCKETS * BUCKET_NS;

    private static final long NOT_STARTED = Long.MIN_VALUE;

    private final int[] calls = new int[BUCKETS];
    private final int[] failures = new int[BUCKETS];
    private int totalCalls;
    private int totalFailures;
    /** Number of the newest bucket, counted from time 0. */
    private long newestBucket = NOT_STARTED;

    private static int index(long bucket) {
        return (int) Math.floorMod(bucket, (long) BUCKETS);
    }

    /** Moves to the bucket of {@code now}; returns the number of buckets moved, at most {@link #BUCKETS} + 1. */
    int roll(long now) {
        long target = Math.floorDiv(now, BUCKET_NS);
        long from = Math.max(newestBucket, target - BUCKETS - 1);
        for (long bucket = from + 1; bucket <= target; bucket++) {
            int i = index(bucket);
            totalCalls -= calls[i];
            totalFailures -= failures[i];
            calls[i] = 0;
            failures[i] = 0;
        }
        newestBucket = Math.max(newestBucket, target);
        return (int) Math.max(0, target - from);
    }

    /** Counts a call in the newest bucket. */
    void count(boolean failure) {
        int i = index(newestBucket);
        calls[i]++;
        totalCalls++;
        if (failure) {
            failures[i]++;
            totalFailures++;
        }
    }

    void clear() {
        Arrays.fill(calls, 0);
        Arrays.fill(failures, 0);
        totalCalls = 0;
        totalFailures = 0;
    }

    int calls() {
        return totalCalls;
    }

    int failures() {
        return totalFailures;
    }

    /** Calls that remain in the window at {@code now}; does not move the window. */
    int callsAt(long now) {
        return sumAt(calls, now);
    }

    /** Failures that remain in the window at {@code now}; does not move the window. */
    int failuresAt(long now) {
        return sumAt(failures, now);
    }

    private int sumAt(int[] counts, long now) {
        int sum = 0;
        for (long bucket = Math.floorDiv(now, BUCKET_NS) - BUCKETS + 1; bucket <= newestBucket; bucket++) {
            sum += counts[index(bucket)];
        }
        return sum;
    }

    /** Reads or writes the counts by bucket age, since bucket boundaries differ between the clocks of two processes. */
    void transfer(SnapshotCursor snapshot) {
        boolean started = snapshot.flag(newestBucket != NOT_STARTED);
        if (!started) {
            return;
        }
        long middle = newestBucket == NOT_STARTED ? 0 : newestBucket * BUCKET_NS + BUCKET_NS / 2;
        long newest = Math.floorDiv(snapshot.time(middle), BUCKET_NS);
        totalCalls = 0;
        totalFailures = 0;
        for (int age = 0; age < BUCKETS; age++) {
            int i = index(newest - age);
            calls[i] = (int) snapshot.integer(calls[i]);
            failures[i] = (int) snapshot.integer(failures[i]);
            totalCalls += calls[i];
            totalFailures += failures[i];
        }
        newestBucket = newest;
    }
}
