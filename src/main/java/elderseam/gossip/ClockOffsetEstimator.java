package elderseam.gossip;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates how far each member's wall clock is ahead of this member's, from the time stamps of its packets. Network
 * delay makes a clock appear to be further behind than it is, so the largest observed difference is the best estimate.
 * The estimate decays by a thousandth of the elapsed time, so that it follows a clock that was set back within minutes.
 * A member that sends false time stamps affects only the age of its own reports.
 */
final class ClockOffsetEstimator {
    private static final double DECAY = 1e-3;
    private static final double NS_PER_MS = 1e6;

    private record Offset(double aheadMs, long observedAtNs) {}

    private final Map<String, Offset> offsets = new HashMap<>();

    /**
     * Updates the estimate from a packet.
     *
     * @param memberWallMs time stamp of the packet, by the member's wall clock
     * @param ownWallMs time of arrival, by this member's wall clock
     */
    void observe(String member, long memberWallMs, long ownWallMs, long nowNs) {
        double observedMs = (double) memberWallMs - ownWallMs;
        Offset last = offsets.get(member);
        double aheadMs = last == null ? observedMs : Math.max(observedMs, decayed(last, nowNs));
        offsets.put(member, new Offset(aheadMs, nowNs));
    }

    private static double decayed(Offset offset, long nowNs) {
        return offset.aheadMs - (nowNs - offset.observedAtNs) / NS_PER_MS * DECAY;
    }

    /**
     * Returns the age of a time stamp in milliseconds; 0 if it lies in the future, or the member's clock offset is
     * unknown.
     *
     * @param memberWallMs the time stamp, by the member's wall clock
     */
    long ageMs(String member, long memberWallMs, long ownWallMs) {
        Offset offset = offsets.get(member);
        return offset == null ? 0 : Math.max(0, (long) (ownWallMs - (memberWallMs - offset.aheadMs)));
    }

    void remove(String member) {
        offsets.remove(member);
    }
}
