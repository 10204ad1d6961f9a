package elderseam.fleet.lease;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongSupplier;

/**
 * One member's thread that gets and keeps the leases of its tasks. Other threads ask {@link #tenure} before each act; the
 * thread itself waits for the group and for nothing else.
 */
public final class LeaseRenewer {
    /** Told of each request and of what came of it, on the holder's thread. */
    public interface Events {
        void asked(String lease, LeaseRequestSchedule.Ask ask, long token);

        /** {@code outcome} is null where the group gave no answer; {@code tenure} is null where the member holds nothing. */
        void answered(String lease, LeaseTable.Outcome outcome, LeaseValidity tenure);

        /** The member holds it no longer, by its own will; on whatever thread that was. */
        void released(String lease);
    }

    private final LeaseGroup group;
    private final LongSupplier clock;
    private final Events events;
    private final long ttlMs;
    private final Map<String, LeaseRequestSchedule> keepers = new LinkedHashMap<>();
    private final Map<String, LeaseValidity> tenures = new ConcurrentHashMap<>();
    private final Map<String, Long> others = new ConcurrentHashMap<>(); // until when another holds it
    private final Set<String> wanted = ConcurrentHashMap.newKeySet(), freed = ConcurrentHashMap.newKeySet();
    private final LeaseValidity.Bounds bounds;
    private final SplittableRandom random;
    private final Thread thread;
    private volatile boolean stopped;

    public LeaseRenewer(
            LeaseGroup group,
            List<String> leases,
            long ttlMs,
            LeaseValidity.Bounds bounds,
            SplittableRandom random,
            LongSupplier clock,
            Events events) {
        this.group = group;
        this.clock = clock;
        this.events = events;
        this.ttlMs = ttlMs;
        this.bounds = bounds;
        this.random = random;
        wanted.addAll(leases);
        thread = new Thread(this::run, "lease-holder");
        thread.setDaemon(true);
        thread.start();
    }

    /** The tenure under which an act may begin now, if {@link LeaseValidity#mayAct} agrees; null where the member holds nothing. */
    public LeaseValidity tenure(String lease) {
        return tenures.get(lease);
    }

    /** Until when another holds it, by the group's last word; a time that has passed where none is known to. */
    public long othersUntil(String lease) {
        return others.getOrDefault(lease, Long.MIN_VALUE);
    }

    /** Gets and keeps this lease too from now on, or gives it back and asks no more. Any thread may say so. */
    public void want(String lease, boolean wants) {
        if (wants ? wanted.add(lease) : wanted.remove(lease)) {
            LockSupport.unpark(thread);
        }
    }

    /** Another member has given it back. Any thread may say so. */
    public void freed(String lease) {
        freed.add(lease);
        LockSupport.unpark(thread);
    }

    /** Takes up what is newly wanted, and gives back what no longer is. */
    private void heed() {
        wanted.forEach(l -> keepers.computeIfAbsent(l, n -> new LeaseRequestSchedule(ttlMs, bounds, random.split())));
        for (String lease : List.copyOf(freed)) {
            freed.remove(lease);
            if (keepers.containsKey(lease)) {
                keepers.get(lease).freed(clock.getAsLong());
                others.remove(lease);
            }
        }
        for (String lease : List.copyOf(keepers.keySet())) {
            if (!wanted.contains(lease)) {
                keepers.remove(lease);
                others.remove(lease);
                LeaseValidity held = tenures.remove(lease);
                if (held != null) {
                    events.released(lease);
                    group.release(lease, held.token());
                }
            }
        }
    }

    private void run() {
        while (!stopped) {
            heed();
            long wake = Long.MAX_VALUE;
            for (Map.Entry<String, LeaseRequestSchedule> e : keepers.entrySet()) {
                LeaseRequestSchedule.Step step = e.getValue().next(clock.getAsLong());
                if (step.ask() != LeaseRequestSchedule.Ask.NONE && !stopped) {
                    ask(e.getKey(), e.getValue(), step);
                }
                wake = Math.min(wake, e.getValue().next(clock.getAsLong()).atNs());
            }
            LockSupport.parkNanos(wake == Long.MAX_VALUE ? 1_000_000_000L : Math.max(0, wake - clock.getAsLong()));
        }
    }

    private void ask(String lease, LeaseRequestSchedule keeper, LeaseRequestSchedule.Step step) {
        events.asked(lease, step.ask(), step.token());
        long sent = clock.getAsLong(); // before the send: the group stamps later than this
        LeaseTable.Outcome outcome = null;
        try {
            outcome = (step.ask() == LeaseRequestSchedule.Ask.RENEW
                            ? group.renew(lease, step.token(), ttlMs)
                            : group.acquire(lease, ttlMs))
                    .get();
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
        others.put(lease, keeper.othersUntil());
        LeaseValidity tenure = keeper.tenure();
        if (tenure == null) {
            tenures.remove(lease);
        } else {
            tenures.put(lease, tenure);
        }
        events.answered(lease, outcome, tenure);
    }

    /** Acts on nothing any more, and gives back what it holds; done once the group has said so of all. */
    public CompletableFuture<Void> leave() {
        stopped = true;
        Map<String, LeaseValidity> held = Map.copyOf(tenures);
        tenures.clear();
        held.keySet().forEach(events::released);
        LockSupport.unpark(thread);
        return CompletableFuture.allOf(held.entrySet().stream()
                .map(e -> group.release(e.getKey(), e.getValue().token()))
                .toArray(CompletableFuture[]::new));
    }
}
