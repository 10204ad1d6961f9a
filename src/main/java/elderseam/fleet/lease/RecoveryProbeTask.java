package elderseam.fleet.lease;

/**
 * Whether a member may try a destination whose breaker is open, or leaves that to the one that holds the lease for it. No
 * I/O; one for each destination, asked at every look; times are nanoseconds of the member's clock.
 *
 * <p>A member leaves the trial to another only while the group's last word says that the other holds the lease, and only
 * until that one has published that the destination is back. A holder that has nothing to try with (its breaker is ready for
 * a trial, and none goes out) gives the lease up for a while. Where the group says nothing each tries for itself.
 */
public final class RecoveryProbeTask {
    /** What to do now. {@code wants}: to hold the lease; {@code defers}: no trial of its own yet; {@code tells}: publish that it is back. */
    public record Turn(boolean wants, boolean defers, boolean tells) {}

    /** How the member's own breaker stands: it lends, it is ready for a trial or has one out, it sleeps. */
    public enum Standing {
        CLOSED,
        HALF_OPEN,
        OPEN
    }

    private final long idleNs, pauseNs;
    private long halfOpenSince = -1, pausedUntil = Long.MIN_VALUE;
    private boolean open, told, back;

    /** {@code idleNs}: so long a holder may be ready for a trial without one's outcome; {@code pauseNs}: then it does not want the lease. */
    public RecoveryProbeTask(long idleNs, long pauseNs) {
        this.idleNs = idleNs;
        this.pauseNs = pauseNs;
    }

    /** The holder has published that the destination is back. */
    public void back() {
        back = true;
    }

    /** {@code holds}: this member has the lease; {@code another}: another is known to have it. */
    public Turn look(long now, Standing standing, boolean holds, boolean another) {
        if (standing == Standing.CLOSED) {
            boolean tells = open && holds;
            open = false;
            told = told && holds || tells;
            halfOpenSince = -1;
            return new Turn(holds && !told, false, tells);
        }
        if (!open) { // a new outage: what was published of the one before says nothing of it
            open = true;
            told = false;
            back = false;
        }
        halfOpenSince = standing == Standing.HALF_OPEN ? halfOpenSince < 0 ? now : halfOpenSince : -1;
        if (holds && halfOpenSince >= 0 && now - halfOpenSince > idleNs) {
            pausedUntil = now + pauseNs;
        }
        return new Turn(!back && now >= pausedUntil, !holds && another && !back, false);
    }
}
