package elderseam.gossip;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Computes the suspicion that a destination is down, 0 to 1, from the other members' health reports. It increases the
 * weight of failures of this member's own calls, and has no effect where none of them fail. Each reporter of an open
 * breaker contributes the product of its credibility and its evidence, both at most 1. A full contribution of 1 is
 * subtracted from the sum, so that no single reporter has an effect, whatever it reports; the suspicion reaches 1 at a
 * sum of four full contributions.
 *
 * <p>A reporter of an open breaker for a destination at which this member's own calls succeed loses half of its
 * credibility, once for each report, and regains it with a time constant of ten minutes. So a member that always sends
 * false reports has no influence after a few of them, and one that sent a single false report regains its influence
 * within an hour.
 */
final class HealthEstimator {
    /** Credibility of a reporter whose reports were never contradicted by this member's own calls. */
    static final double INITIAL_CREDIBILITY = 0.8;

    private static final double CONTRADICTED_FACTOR = 0.5;
    private static final double RECOVERY_TIME_CONSTANT_NS = 600e9;
    /** Minimum share of delivered calls among own calls for these to contradict a report of an open breaker. */
    private static final double CONTRADICTING_DELIVERED_SHARE = 0.8;
    /** Minimum number of own calls within {@link HealthReport#WINDOW_MS} to contradict a report of an open breaker. */
    private static final int MIN_CONTRADICTING_CALLS = 5;

    /** Sum of the reporters' contributions at which the suspicion is 1. */
    private static final double FULL_SUSPICION_SUM = 4;
    /** Successful calls that are added to those in a report, so that a report of few calls is weak evidence. */
    private static final int ASSUMED_SUCCESSES = 2;
    /**
     * Share of failed calls below which a report is no evidence of an outage: where a third of all calls fail, breakers
     * trip occasionally, and the breakers of other members should not trip because of that.
     */
    private static final double NO_EVIDENCE_SHARE = 0.4;

    /** Width of the range above {@link #NO_EVIDENCE_SHARE} over which the evidence increases from 0 to 1. */
    private static final double EVIDENCE_SHARE_RANGE = 0.4;

    private static final int MAX_CONTRADICTED_DESTINATIONS = 256;

    private static final class Credibility {
        double value = INITIAL_CREDIBILITY;
        long updatedAtNs;
        /** By destination, the sequence number of the last report that own calls contradicted. */
        final Map<Long, Long> contradictedReports = new HashMap<>();
    }

    private final Map<String, Credibility> byReporter = new HashMap<>();

    /** Returns the reporter's credibility at {@code nowNs}, 0 to 1. */
    double credibility(String reporter, long nowNs) {
        Credibility credibility = byReporter.get(reporter);
        if (credibility == null) {
            return INITIAL_CREDIBILITY;
        }
        double remainingLoss = Math.exp(-(nowNs - credibility.updatedAtNs) / RECOVERY_TIME_CONSTANT_NS);
        credibility.value = 1 - (1 - credibility.value) * remainingLoss;
        credibility.updatedAtNs = nowNs;
        return credibility.value;
    }

    /**
     * Returns the suspicion that a destination is down, 0 to 1, and lowers the credibility of reporters that are
     * contradicted by own calls.
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
                recordContradiction(report, nowNs);
            }
            sum += credibility(report.reporter(), nowNs) * evidence(report);
        }
        return contradicted ? 0 : clamp((sum - 1) / (FULL_SUSPICION_SUM - 1));
    }

    /** Returns how strongly the call counts in the report indicate an outage, 0 to 1. */
    private static double evidence(HealthReport report) {
        double failureShare = (double) report.failures() / (report.calls() + ASSUMED_SUCCESSES);
        return clamp((failureShare - NO_EVIDENCE_SHARE) / EVIDENCE_SHARE_RANGE);
    }

    private static double clamp(double value) {
        return Math.max(0, Math.min(1, value));
    }

    private void recordContradiction(HealthReport report, long nowNs) {
        double previousValue = credibility(report.reporter(), nowNs);
        Credibility credibility = byReporter.computeIfAbsent(report.reporter(), reporter -> new Credibility());
        Map<Long, Long> contradicted = credibility.contradictedReports;
        if (contradicted.size() > MAX_CONTRADICTED_DESTINATIONS) {
            contradicted.clear();
        }
        Long lastSequence = contradicted.put(report.destination(), report.sequence());
        if (lastSequence == null || lastSequence != report.sequence()) {
            credibility.value = previousValue * CONTRADICTED_FACTOR;
            credibility.updatedAtNs = nowNs;
        }
    }

    /**
     * Returns the expected number of members about to make a trial call to the destination: this one, and those that
     * report an open or half-open breaker, weighted by credibility. Trial calls are spread over that many sleep
     * windows.
     */
    double trialCallers(List<HealthReport> reports, long nowNs) {
        double sum = 1;
        for (HealthReport report : reports) {
            if (report.state() != HealthReport.State.CLOSED) {
                sum += credibility(report.reporter(), nowNs);
            }
        }
        return sum;
    }

    /** Removes a member that is not on the roster any more. */
    void remove(String reporter) {
        byReporter.remove(reporter);
    }
}
