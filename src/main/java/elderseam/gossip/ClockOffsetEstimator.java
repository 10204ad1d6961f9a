package elderseam.gossip;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates how far each member's wall clock is ahead of this one's, from the time stamps of its packets. A packet takes a
 * while to arrive, so the largest difference seen is the nearest to the truth. The estimate decays by a thousandth of the time
 * that passes, so that a clock that was set back is followed within minutes. A member that lies about its clock changes only
 * the age of its own reports.
 */
final class ClockOffsetEstimator {
    private static final double DECAY = 1e-3;
    private static final double NS_PER_MS = 1e6;

    private record Offset(double aheadMs, long observedAtNs) {}

    private final Map<String, Offset> offsets = new HashMap<>();

    /** A packet of the member was stamped {@code theirWallMs}, and arrived at {@code ownWallMs}. */
    void observe(String member, long theirWallMs, long ownWallMs, long nowNs) {
        double observedMs = (double) theirWallMs - ownWallMs;
        Offset last = offsets.get(member);
        double aheadMs = last == null ? observedMs : Math.max(observedMs, decayed(last, nowNs));
        offsets.put(member, new Offset(aheadMs, nowNs));
    }

    private static double decayed(Offset offset, long nowNs) {
        return offset.aheadMs - (nowNs - offset.observedAtNs) / NS_PER_MS * DECAY;
    }

    /** Returns how long ago, in milliseconds, the member stamped something so; 0 if its clock is unknown. */
    long ageMs(String member, long stampedMs, long ownWallMs) {
        Offset offset = offsets.get(member);
        return offset == null ? 0 : Math.max(0, (long) (ownWallMs - (stampedMs - offset.aheadMs)));
    }

    void remove(String member) {
        offsets.remove(member);
    }
}
