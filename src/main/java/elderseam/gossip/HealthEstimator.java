package elderseam.gossip;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Turns health reports of a destination into a suspicion, 0 to 1, which makes own failures weigh more and does nothing where
 * there are none. Each reporter of an open breaker contributes its credibility times its evidence, each 1 at most. One whole
 * contribution is subtracted from the sum, so that no single reporter has an effect, whatever it says; the suspicion is 1 at
 * four whole contributions.
 *
 * <p>A reporter that says open of a destination at which this member's own calls succeed loses half of its credibility, once
 * for each report, and regains it with a time constant of ten minutes. So a member that always lies is worth nothing after a few
 * reports, and one that erred is heard again within the hour.
 */
final class HealthEstimator {
    /** Credibility of a reporter that was never contradicted. */
    static final double INITIAL_CREDIBILITY = 0.8;

    private static final double CONTRADICTED_FACTOR = 0.5;
    private static final double REGAIN_TIME_CONSTANT_NS = 600e9;
    /** The share of own calls that must have been delivered for them to contradict an open report. */
    private static final double CONTRADICTING_DELIVERED_SHARE = 0.8;
    /** How many own calls within {@link HealthReport#WINDOW_MS} it takes to contradict an open report. */
    private static final int MIN_CONTRADICTING_CALLS = 5;

    private static final double FULL_SUSPICION_SUM = 4;
    /** Calls that are added to a report's as if they had succeeded, so that a few calls are little evidence. */
    private static final int ASSUMED_SUCCESSES = 2;
    /**
     * Failure share below which a report is no evidence: where a third of all calls fail, breakers trip now and then, and
     * others are not to follow.
     */
    private static final double NO_EVIDENCE_SHARE = 0.4;

    private static final double FULL_EVIDENCE_SHARE_RANGE = 0.4;
    private static final int MAX_CONTRADICTED_DESTINATIONS = 256;

    private static final class Credibility {
        double value = INITIAL_CREDIBILITY;
        long updatedAtNs;
        /** By destination, the sequence of the last report that own calls contradicted. */
        final Map<Long, Long> contradictedReports = new HashMap<>();
    }

    private final Map<String, Credibility> byReporter = new HashMap<>();

    /** Returns a reporter's credibility now, 0 to 1. */
    double credibility(String reporter, long nowNs) {
        Credibility credibility = byReporter.get(reporter);
        if (credibility == null) {
            return INITIAL_CREDIBILITY;
        }
        double remainingLoss = Math.exp(-(nowNs - credibility.updatedAtNs) / REGAIN_TIME_CONSTANT_NS);
        credibility.value = 1 - (1 - credibility.value) * remainingLoss;
        credibility.updatedAtNs = nowNs;
        return credibility.value;
    }

    /**
     * Returns the suspicion against a destination, 0 to 1, and lowers the credibility of reporters that own calls contradict.
     *
     * @param reports other members' current reports of the destination
     * @param ownCalls this member's calls within {@link HealthReport#WINDOW_MS}
     * @param ownDelivered how many of these were delivered
     */
    double suspicion(List<HealthReport> reports, int ownCalls, int ownDelivered, long nowNs) {
        boolean contradicted =
                ownCalls >= MIN_CONTRADICTING_CALLS && ownDelivered >= CONTRADICTING_DELIVERED_SHARE * ownCalls;
        double sum = 0;
        for (HealthReport report : reports) {
            if (report.state() != HealthReport.State.OPEN) {
                continue;
            }
            if (contradicted) {
                contradict(report, nowNs);
            }
            sum += credibility(report.reporter(), nowNs) * evidence(report);
        }
        return contradicted ? 0 : clamp((sum - 1) / (FULL_SUSPICION_SUM - 1));
    }

    /** Returns how far the report's own figures speak of an outage, 0 to 1. */
    private static double evidence(HealthReport report) {
        double failureShare = (double) report.failures() / (report.calls() + ASSUMED_SUCCESSES);
        return clamp((failureShare - NO_EVIDENCE_SHARE) / FULL_EVIDENCE_SHARE_RANGE);
    }

    private static double clamp(double value) {
        return Math.max(0, Math.min(1, value));
    }

    private void contradict(HealthReport report, long nowNs) {
        double before = credibility(report.reporter(), nowNs);
        Credibility credibility = byReporter.computeIfAbsent(report.reporter(), reporter -> new Credibility());
        Map<Long, Long> contradicted = credibility.contradictedReports;
        if (contradicted.size() > MAX_CONTRADICTED_DESTINATIONS) {
            contradicted.clear();
        }
        Long lastSequence = contradicted.put(report.destination(), report.sequence());
        if (lastSequence == null || lastSequence != report.sequence()) {
            credibility.value = before * CONTRADICTED_FACTOR;
            credibility.updatedAtNs = nowNs;
        }
    }

    /**
     * Returns how many members are about to make a trial call to the destination, this one included: those that report an open
     * or half-open breaker, weighed by credibility. Trial calls are spread over that many sleep windows.
     */
    double probers(List<HealthReport> reports, long nowNs) {
        double sum = 1;
        for (HealthReport report : reports) {
            if (report.state() != HealthReport.State.CLOSED) {
                sum += credibility(report.reporter(), nowNs);
            }
        }
        return sum;
    }

    /** Forgets a member that is not on the roster any more. */
    void remove(String reporter) {
        byReporter.remove(reporter);
    }
}
