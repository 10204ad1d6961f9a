package elderseam.gossip;

import java.util.HashMap;
import java.util.Map;

/**
 * How far each member's wall clock is off from this one's, from what its datagrams say of it: a datagram is underway for a
 * while, so the largest difference of late is the nearest. It slackens by a thousandth of the time that passes, so that a
 * clock that was set back is followed within minutes. A member that lies of its clock makes its own claims older or younger,
 * nobody else's.
 */
final class ClockOffsetEstimator {
    private static final double SLACK = 1e-3;

    private record Off(double ms, long at) {}

    private final Map<String, Off> off = new HashMap<>();

    /** A datagram of that member says so much of its clock, which this one's shows as that. */
    void hear(String member, long theirMs, long hereMs, long now) {
        double seen = (double) theirMs - hereMs;
        Off o = off.get(member);
        off.put(member, new Off(o == null ? seen : Math.max(seen, o.ms - (now - o.at) / 1e6 * SLACK), now));
    }

    /** How old is what that member stamped so, in milliseconds of this clock; 0 where its clock is not known. */
    long ageMs(String member, long stampedMs, long hereMs) {
        Off o = off.get(member);
        return o == null ? 0 : Math.max(0, (long) (hereMs - (stampedMs - o.ms)));
    }

    void remove(String member) {
        off.remove(member);
    }
}
