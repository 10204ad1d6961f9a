package elderseam.testkit.faults;

import java.io.IOException;

/** The last act that took effect on the store of a cluster. Any thread may use it. */
final class StoreActs {
    private FencedStore.Act latest; // guarded by this; null before the first
    private volatile String holder = "";

    /** Takes an act as the store has decided on it. */
    synchronized void add(FencedStore.Act act) {
        if (act.admitted()) {
            latest = act;
            holder = act.holder().substring(0, act.holder().indexOf('/')); // MEMBER/INCARNATION
        }
        notifyAll();
    }

    /** The member that acted last; "" before the first act. */
    String holder() {
        return holder;
    }

    /** Waits until an act takes effect that comes after this call; false where none does by {@code deadlineNs}. */
    @SuppressWarnings("ReferenceEquality") // two acts may be equal, and are two all the same
    synchronized boolean awaitNext(long deadlineNs) throws IOException {
        FencedStore.Act before = latest;
        while (latest == before) {
            if (!Waits.awaitNotify(this, deadlineNs)) {
                return false;
            }
        }
        return true;
    }
}
