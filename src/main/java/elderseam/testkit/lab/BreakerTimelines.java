package elderseam.testkit.lab;

import elderseam.policy.BreakerState;
import elderseam.policy.BreakerView;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/** Collects the state of each destination's circuit breakers by the second: of several dispatchers, the one furthest from closed. */
final class BreakerTimelines {
    private static final int MAX_TIMELINES = 200;

    private final int seconds;

    /** By destination; only of those with a breaker that was not closed at some time. */
    private final Map<Long, BreakerState[]> timelines = new HashMap<>();

    BreakerTimelines(int seconds) {
        this.seconds = seconds;
    }

    /** Takes in what one dispatcher's breaker of a destination is in the given second. */
    void observe(int second, long destination, BreakerView breaker) {
        BreakerState state = breaker.state();
        if (state == BreakerState.CLOSED) {
            return;
        }
        BreakerState[] timeline = timelines.computeIfAbsent(destination, any -> allClosed());
        if (severity(state) > severity(timeline[second])) {
            timeline[second] = state;
        }
    }

    /** The timelines, by destination, of those that had a breaker open; 200 at most. */
    SortedMap<Long, BreakerState[]> opened() {
        SortedMap<Long, BreakerState[]> opened = new TreeMap<>();
        for (Map.Entry<Long, BreakerState[]> entry : timelines.entrySet()) {
            if (opened.size() == MAX_TIMELINES) {
                break;
            }
            if (Arrays.asList(entry.getValue()).contains(BreakerState.OPEN)) {
                opened.put(entry.getKey(), entry.getValue());
            }
        }
        return opened;
    }

    private BreakerState[] allClosed() {
        BreakerState[] timeline = new BreakerState[seconds];
        Arrays.fill(timeline, BreakerState.CLOSED);
        return timeline;
    }

    private static int severity(BreakerState state) {
        return switch (state) {
            case CLOSED -> 0;
            case HALF_OPEN -> 1;
            case OPEN -> 2;
        };
    }
}
