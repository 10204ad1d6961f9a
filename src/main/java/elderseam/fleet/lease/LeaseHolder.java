package elderseam.fleet.lease;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongSupplier;

/**
 * One member's thread that gets and keeps the leases of its tasks. Other threads ask {@link #tenure} before each act; the
 * thread itself waits for the group and for nothing else.
 */
public final class LeaseHolder {
    /** Told of each request and of what came of it, on the holder's thread. */
    public interface Events {
        void asked(String lease, LeaseKeeper.Ask ask, long token);

        /** {@code outcome} is null where the group gave no answer; {@code tenure} is null where the member holds nothing. */
        void answered(String lease, LeaseTable.Outcome outcome, Tenure tenure);
    }

    private final LeaseGroup group;
    private final LongSupplier clock;
    private final Events events;
    private final long ttlMs;
    private final Map<String, LeaseKeeper> keepers = new LinkedHashMap<>();
    private final Map<String, Tenure> tenures = new ConcurrentHashMap<>();
    private final Thread thread;
    private volatile boolean stopped;

    public LeaseHolder(LeaseGroup group, List<String> leases, long ttlMs, Tenure.Bounds bounds, SplittableRandom random, LongSupplier clock,
                       Events events) {
        this.group = group;
        this.clock = clock;
        this.events = events;
        this.ttlMs = ttlMs;
        leases.forEach(l -> keepers.put(l, new LeaseKeeper(ttlMs, bounds, random.split())));
        thread = new Thread(this::run, "lease-holder");
        thread.setDaemon(true);
        thread.start();
    }

    /** The tenure under which an act may begin now, if {@link Tenure#mayAct} agrees; null where the member holds nothing. */
    public Tenure tenure(String lease) {
        return tenures.get(lease);
    }

    private void run() {
        while (!stopped) {
            long now = clock.getAsLong(), wake = Long.MAX_VALUE;
            for (Map.Entry<String, LeaseKeeper> e : keepers.entrySet()) {
                LeaseKeeper.Step step = e.getValue().next(clock.getAsLong());
                if (step.ask() != LeaseKeeper.Ask.NONE && !stopped) {
                    ask(e.getKey(), e.getValue(), step);
                }
                wake = Math.min(wake, e.getValue().next(clock.getAsLong()).atNs());
            }
            LockSupport.parkNanos(Math.max(0, wake - clock.getAsLong()));
        }
    }

    private void ask(String lease, LeaseKeeper keeper, LeaseKeeper.Step step) {
        events.asked(lease, step.ask(), step.token());
        long sent = clock.getAsLong();   // before the send: the group stamps later than this
        LeaseTable.Outcome outcome = null;
        try {
            outcome = (step.ask() == LeaseKeeper.Ask.RENEW ? group.renew(lease, step.token(), ttlMs) : group.acquire(lease, ttlMs)).get();
        } catch (ExecutionException e) {
            // no answer in its time: told as null
        } catch (InterruptedException e) {
            stopped = true;
            return;
        }
        if (outcome == null) {
            keeper.failed(clock.getAsLong());
        } else {
            keeper.answered(sent, clock.getAsLong(), outcome);
        }
        Tenure tenure = keeper.tenure();
        if (tenure == null) {
            tenures.remove(lease);
        } else {
            tenures.put(lease, tenure);
        }
        events.answered(lease, outcome, tenure);
    }

    /** Acts on nothing any more, and gives back what it holds; waits for neither. */
    public void leave() {
        stopped = true;
        Map<String, Tenure> held = Map.copyOf(tenures);
        tenures.clear();
        LockSupport.unpark(thread);
        held.forEach((lease, t) -> group.release(lease, t.token()));
    }
}
