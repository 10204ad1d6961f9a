package elderseam.fleet.lease;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * Decides whether a member orders a certificate itself or waits for the one that the lease holder publishes. The holder
 * orders; the other members wait while a holder is known, and for a limited time while none is known. An order that is
 * announced or ends shows a holder, so that time begins anew with it. From the deadline
 * on, well before the current certificate expires, every member orders its own: the lease reduces the number of orders
 * but must never cause a certificate to expire.
 *
 * <p>No fencing token can stop an order that is open at the authority when its holder loses the lease. So a holder announces
 * each order to the group before it begins, and while the order of another member may still be completed, nobody else
 * begins one.
 *
 * <p>Does no I/O; thread-safe. Times are milliseconds of one clock.
 */
public final class CertificateOrderTask {
    private final long noHolderTimeoutMs;
    private final long otherOrderTimeoutMs;
    private OptionalLong noHolderSinceMs = OptionalLong.empty();
    private Optional<String> otherOrderBy = Optional.empty(); // the member whose order is open
    private OptionalLong otherOrderSinceMs = OptionalLong.empty(); // as seen by awaitsOtherOrder

    /**
     * Creates the task of one member.
     *
     * @param noHolderTimeoutMs how long this member waits, in milliseconds, while no holder is known
     * @param otherOrderTimeoutMs the time in which an order that another member has announced ends, either way
     */
    public CertificateOrderTask(long noHolderTimeoutMs, long otherOrderTimeoutMs) {
        this.noHolderTimeoutMs = noHolderTimeoutMs;
        this.otherOrderTimeoutMs = otherOrderTimeoutMs;
    }

    /** Another member has announced an order. */
    public synchronized void otherOrderBegan(String member) {
        otherOrderBy = Optional.of(member);
        otherOrderSinceMs = OptionalLong.empty();
        noHolderSinceMs = OptionalLong.empty();
    }

    /** The last order has ended, either way. */
    public synchronized void orderEnded() {
        otherOrderBy = Optional.empty();
        noHolderSinceMs = OptionalLong.empty();
    }

    /** The other member whose order was announced last and has not ended; empty if there is none. */
    public synchronized Optional<String> otherOrderBy() {
        return otherOrderBy;
    }

    /** Whether the order of another member may still be completed. One whose time is over has ended from here on. */
    public synchronized boolean awaitsOtherOrder(long nowMs) {
        if (otherOrderBy.isEmpty()) {
            return false;
        }
        if (otherOrderSinceMs.isEmpty()) {
            otherOrderSinceMs = OptionalLong.of(nowMs);
        }
        if (nowMs - otherOrderSinceMs.getAsLong() >= otherOrderTimeoutMs) {
            orderEnded();
        }
        return otherOrderBy.isPresent();
    }

    /** Whether this member orders the certificate now. From {@code deadlineMs} on it no longer waits for another member. */
    public synchronized boolean isOrderedHere(long nowMs, long deadlineMs, LeaseOwner owner) {
        if (nowMs >= deadlineMs) {
            return true;
        }
        if (awaitsOtherOrder(nowMs)) {
            return false;
        }
        if (owner != LeaseOwner.UNKNOWN) {
            noHolderSinceMs = OptionalLong.empty();
            return owner == LeaseOwner.THIS_MEMBER;
        }
        if (noHolderSinceMs.isEmpty()) {
            noHolderSinceMs = OptionalLong.of(nowMs);
        }
        return nowMs - noHolderSinceMs.getAsLong() >= noHolderTimeoutMs;
    }
}
