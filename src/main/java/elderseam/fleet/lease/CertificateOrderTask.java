package elderseam.fleet.lease;

/**
 * Whether a member orders a certificate itself or waits for the one that the lease's holder passes on. The holder orders; the
 * others wait while they know of a holder, and for {@code patienceMs} where they know of none. From the last instant on, well
 * before the certificate they have ends, each orders for itself: the lease spares orders, and never lets a certificate end.
 * No I/O; times are milliseconds of one clock.
 */
public final class CertificateOrderTask {
    private final long patienceMs;
    private long silentSince = -1;

    public CertificateOrderTask(long patienceMs) {
        this.patienceMs = patienceMs;
    }

    /** {@code holds}: this member has the lease; {@code another}: another is known to have it. */
    public boolean own(long nowMs, long lastMs, boolean holds, boolean another) {
        if (holds || nowMs >= lastMs) {
            return true;
        }
        if (another) {
            silentSince = -1;
            return false;
        }
        silentSince = silentSince < 0 ? nowMs : silentSince;
        return nowMs - silentSince >= patienceMs;
    }
}
