package elderseam.gossip;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Decides when this member publishes health reports of its own circuit breakers. Each change of state is reported at
 * once; the report of an open or half-open breaker is repeated before it expires at the other members; and a breaker
 * that was never open is not reported. Both the rate of reports and the number of destinations are bounded.
 */
final class OwnReportPublisher {
    private static final int MAX_DESTINATIONS = 256;
    private static final double MAX_REPORTS_PER_SECOND = 20;
    private static final long REPEAT_INTERVAL_NS = TimeUnit.SECONDS.toNanos(3);

    private record Published(HealthReport.State state, long publishedAtNs) {}

    private final String self;
    private final long incarnation;
    private final TokenBucket rateLimit;
    private final Map<Long, Published> byDestination = new HashMap<>();
    private long lastSequence;

    OwnReportPublisher(LocalMember self, long nowNs) {
        this.self = self.name();
        this.incarnation = self.incarnation();
        this.rateLimit = new TokenBucket(MAX_REPORTS_PER_SECOND, MAX_REPORTS_PER_SECOND, nowNs);
    }

    /**
     * Publishes the reports that are due, changes of state first; those that exceed the rate limit are deferred to the
     * next call.
     *
     * @param breakers breakers by destination; reported in the iteration order of the map
     * @param publish receives each report
     */
    void publish(Map<Long, OwnBreaker> breakers, long nowNs, Consumer<HealthReport> publish) {
        byDestination.keySet().removeIf(destination -> !breakers.containsKey(destination));
        boolean isWithinRate = publishDue(breakers, true, nowNs, publish);
        if (isWithinRate) {
            publishDue(breakers, false, nowNs, publish);
        }
    }

    /**
     * Publishes the due reports, either changes of state or repetitions; returns false if it stopped at the rate limit.
     */
    private boolean publishDue(
            Map<Long, OwnBreaker> breakers, boolean changes, long nowNs, Consumer<HealthReport> publish) {
        for (OwnBreaker breaker : breakers.values()) {
            boolean isDue = changes ? isChanged(breaker) : isRepetitionDue(breaker, nowNs);
            if (!isDue) {
                continue;
            }
            if (!rateLimit.tryAcquire(1, nowNs)) {
                return false;
            }
            publish.accept(createReport(breaker));
            byDestination.put(breaker.destination(), new Published(breaker.state(), nowNs));
        }
        return true;
    }

    private boolean isChanged(OwnBreaker breaker) {
        Published last = byDestination.get(breaker.destination());
        if (last == null) {
            return breaker.state() != HealthReport.State.CLOSED && byDestination.size() < MAX_DESTINATIONS;
        }
        return last.state != breaker.state();
    }

    private boolean isRepetitionDue(OwnBreaker breaker, long nowNs) {
        Published last = byDestination.get(breaker.destination());
        return last != null
                && last.state == breaker.state()
                && breaker.state() != HealthReport.State.CLOSED
                && nowNs - last.publishedAtNs >= REPEAT_INTERVAL_NS;
    }

    private HealthReport createReport(OwnBreaker breaker) {
        lastSequence++;
        return new HealthReport(
                self,
                incarnation,
                lastSequence,
                breaker.destination(),
                breaker.state(),
                breaker.retryAfterMs(),
                breaker.calls(),
                breaker.failures(),
                HealthReport.WINDOW_MS);
    }
}
