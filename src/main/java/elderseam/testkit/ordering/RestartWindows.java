package elderseam.testkit.ordering;

import java.util.ArrayList;
import java.util.List;

/**
 * The times in which no notification is overdue: from the signal that ends or stops a process until some time after the next
 * one is ready, or the same one goes on. Confined to one thread until the run is over.
 */
final class RestartWindows {
    private record Window(long start, long end) {}

    private final List<Window> windows = new ArrayList<>();
    private final List<Long> ends = new ArrayList<>();

    /** No notification is overdue between these times; windows come in the order of their starts. */
    void add(long start, long end) {
        windows.add(new Window(start, end));
    }

    /** A process had ended by that time, and with it the waits that it knew. */
    void addEnd(long time) {
        ends.add(time);
    }

    /** The first end of a process between these times; the later one if there is none. */
    long firstEndWithin(long from, long to) {
        return ends.stream()
                .mapToLong(Long::longValue)
                .filter(end -> from <= end && end < to)
                .min()
                .orElse(to);
    }

    /** When something is overdue that would be at that time if no window held it up. */
    long overdueAt(long time) {
        long overdue = time;
        for (Window window : windows) {
            if (window.start <= overdue && overdue < window.end) {
                overdue = window.end;
            }
        }
        return overdue;
    }
}
