package elderseam.fleet.partition;

import elderseam.fleet.BreakerState;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Decides whether this member defers the recovery probe of a destination (the trial call of its circuit breaker) to
 * another member, based on the breaker states that the other members report. All members whose breaker is not closed
 * participate. The participant whose turn it is ({@link TurnSchedule}) sends the probe. The others wait until it
 * reports that its breaker is closed, or until it no longer participates: its report has expired, it has left, or its
 * breaker has been half-open for so long without a probe that it evidently has no request to probe with.
 *
 * <p>Does no I/O; not thread-safe. Times are nanoseconds of the member's monotonic clock.
 */
public final class RecoveryProbeTurns {
    /**
     * The breaker state that another member reports, until the report expires.
     *
     * @param member the member's name
     * @param breakerState the state of its breaker for the destination
     */
    public record PeerReport(String member, BreakerState breakerState) {}

    private final String task;
    private final String self;
    private final long maxIdleNs;
    private final Map<String, Long> halfOpenSinceNs = new HashMap<>(); // by reporting member
    private Set<String> othersInOutage = new HashSet<>();
    private boolean hasRecovered; // according to another member, during the current outage

    /**
     * @param task the name of the destination, the same on all members
     * @param self this member's name
     * @param maxIdleNs how long a breaker may be half-open without a probe before its member loses its turn
     */
    public RecoveryProbeTurns(String task, String self, long maxIdleNs) {
        this.task = task;
        this.self = self;
        this.maxIdleNs = maxIdleNs;
    }

    /** Returns whether this member must not send a probe now. */
    public boolean defersProbe(long nowNs, BreakerState ownBreaker, List<PeerReport> reports) {
        if (ownBreaker == BreakerState.CLOSED) {
            othersInOutage.clear();
            halfOpenSinceNs.clear();
            hasRecovered = false;
            return false;
        }
        List<String> participants = participants(nowNs, reports);
        boolean isOwnTurn =
                TurnSchedule.owner(task, participants).filter(self::equals).isPresent();
        return !hasRecovered && !isOwnTurn;
    }

    /** Processes the reports of the other members, and returns the participants, including this member. */
    private List<String> participants(long nowNs, List<PeerReport> reports) {
        List<String> participants = new ArrayList<>();
        participants.add(self);
        Set<String> inOutage = new HashSet<>();
        for (PeerReport report : reports) {
            String member = report.member();
            if (report.breakerState() == BreakerState.CLOSED) {
                hasRecovered |= othersInOutage.contains(member);
                continue;
            }
            inOutage.add(member);
            if (idleNs(nowNs, report) <= maxIdleNs) {
                participants.add(member);
            }
        }
        halfOpenSinceNs.keySet().retainAll(inOutage);
        othersInOutage = inOutage;
        return participants;
    }

    /** Returns how long the breaker of the reporting member has been half-open without the outcome of a probe. */
    private long idleNs(long nowNs, PeerReport report) {
        if (report.breakerState() == BreakerState.OPEN) {
            halfOpenSinceNs.remove(report.member());
            return 0;
        }
        return nowNs - halfOpenSinceNs.computeIfAbsent(report.member(), member -> nowNs);
    }
}
