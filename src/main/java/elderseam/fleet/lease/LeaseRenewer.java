package elderseam.fleet.lease;

import elderseam.fleet.ClockDriftBound;
import elderseam.fleet.lease.LeaseRequestSchedule.NextStep;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongSupplier;

/**
 * Acquires and renews the leases of one member's tasks on a dedicated thread. Other threads read {@link #validity}
 * before each operation under a lease; the dedicated thread blocks only on requests to the group. All public methods
 * are thread-safe.
 */
public final class LeaseRenewer {
    /** Notified of each request and its result, on the renewer's thread except for {@link #released}. */
    public interface Listener {
        /** A request is about to be sent: ACQUIRE, or RENEW for the lease with {@code token}. */
        void requested(String lease, LeaseTable.Operation operation, long token);

        /** The group granted the lease. */
        void granted(String lease, LeaseValidity validity);

        /** The group refused the request; this member does not hold the lease. */
        void refused(String lease, LeaseTable.Outcome outcome);

        /** The group did not reply; a validity granted earlier remains until it expires. */
        void unanswered(String lease);

        /** This member releases the lease. Called on the thread that initiated the release. */
        void released(String lease);
    }

    /** How long the thread sleeps while no lease is wanted, unless a change wakes it earlier. */
    private static final long IDLE_NS = TimeUnit.SECONDS.toNanos(1);

    private final LeaseGroup group;
    private final LongSupplier clock;
    private final Listener listener;
    private final long ttlMs;
    private final ClockDriftBound driftBound;
    private final SplittableRandom random;
    private final Map<String, LeaseRequestSchedule> schedules = new LinkedHashMap<>(); // used by the thread only
    private final Map<String, LeaseValidity> validities = new ConcurrentHashMap<>();
    private final Map<String, Long> heldByAnotherUntilNs = new ConcurrentHashMap<>();
    private final Set<String> wantedLeases = ConcurrentHashMap.newKeySet();
    private final Set<String> releasedByOthers = ConcurrentHashMap.newKeySet();
    private final Thread thread;

    /** Held during the stop and while an outcome is applied, so that no outcome is applied after the stop. */
    private final Object stopLock = new Object();

    private volatile boolean stopped;

    /**
     * Starts the thread.
     *
     * @param group the lease group that receives the requests
     * @param leases the names of the leases to acquire from the start
     * @param ttlMs the time to live of each lease in milliseconds
     * @param driftBound the bound on the drift of any member's clock
     * @param random the source of jitter, which spreads the requests of different members
     * @param clock the member's monotonic clock in nanoseconds
     * @param listener notified of requests and results
     */
    public LeaseRenewer(
            LeaseGroup group,
            List<String> leases,
            long ttlMs,
            ClockDriftBound driftBound,
            SplittableRandom random,
            LongSupplier clock,
            Listener listener) {
        this.group = group;
        this.clock = clock;
        this.listener = listener;
        this.ttlMs = ttlMs;
        this.driftBound = driftBound;
        this.random = random;
        wantedLeases.addAll(leases);
        thread = new Thread(this::run, "lease-holder");
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * Returns the validity of the lease, with which {@link LeaseValidity#mayAct} decides whether an operation may
     * begin; empty if this member does not hold the lease.
     */
    public Optional<LeaseValidity> validity(String lease) {
        return Optional.ofNullable(validities.get(lease));
    }

    /** Whether another member holds the lease now, according to the group's last reply. */
    public boolean isHeldByAnother(String lease) {
        Long untilNs = heldByAnotherUntilNs.get(lease);
        return untilNs != null && untilNs > clock.getAsLong();
    }

    /** Starts to acquire and renew the lease, or releases it and stops requesting it. */
    public void setWanted(String lease, boolean isWanted) {
        boolean changed = isWanted ? wantedLeases.add(lease) : wantedLeases.remove(lease);
        if (changed) {
            LockSupport.unpark(thread);
        }
    }

    /** Notifies the renewer that another member has released the lease. */
    public void onReleasedByOther(String lease) {
        releasedByOthers.add(lease);
        LockSupport.unpark(thread);
    }

    /** Waits until the renewer's thread has terminated; for tests. */
    void awaitTermination() throws InterruptedException {
        thread.join();
    }

    private void run() {
        while (!stopped) {
            addNewlyWantedLeases();
            processReportedReleases();
            releaseUnwantedLeases();
            long wakeNs = Long.MAX_VALUE;
            for (Map.Entry<String, LeaseRequestSchedule> entry : schedules.entrySet()) {
                LeaseRequestSchedule schedule = entry.getValue();
                NextStep step = schedule.nextStep(clock.getAsLong());
                if (step instanceof NextStep.Request request && !stopped) {
                    send(entry.getKey(), schedule, request);
                }
                wakeNs = Math.min(wakeNs, nextRequestDueNs(schedule));
            }
            LockSupport.parkNanos(wakeNs == Long.MAX_VALUE ? IDLE_NS : Math.max(0, wakeNs - clock.getAsLong()));
        }
    }

    private long nextRequestDueNs(LeaseRequestSchedule schedule) {
        long nowNs = clock.getAsLong();
        return schedule.nextStep(nowNs) instanceof NextStep.Wait wait ? wait.untilNs() : nowNs;
    }

    private void addNewlyWantedLeases() {
        for (String lease : wantedLeases) {
            schedules.computeIfAbsent(lease, name -> new LeaseRequestSchedule(ttlMs, driftBound, random.split()));
        }
    }

    private void processReportedReleases() {
        for (String lease : List.copyOf(releasedByOthers)) {
            releasedByOthers.remove(lease);
            LeaseRequestSchedule schedule = schedules.get(lease);
            if (schedule != null) {
                schedule.onReleased(clock.getAsLong());
                heldByAnotherUntilNs.remove(lease);
            }
        }
    }

    private void releaseUnwantedLeases() {
        for (String lease : List.copyOf(schedules.keySet())) {
            if (!wantedLeases.contains(lease)) {
                schedules.remove(lease);
                heldByAnotherUntilNs.remove(lease);
                LeaseValidity held = validities.remove(lease);
                if (held != null) {
                    listener.released(lease);
                    var unused = group.release(lease, held.token());
                }
            }
        }
    }

    private void send(String lease, LeaseRequestSchedule schedule, NextStep.Request request) {
        listener.requested(lease, request.operation(), request.token());
        long sentNs = clock.getAsLong(); // read before sending, so that the timestamp of the grant is later
        LeaseTable.Outcome outcome;
        try {
            outcome = submit(lease, request).get();
        } catch (ExecutionException e) {
            schedule.onRequestFailed(clock.getAsLong());
            updateSharedState(lease, schedule);
            listener.unanswered(lease);
            return;
        } catch (InterruptedException e) {
            stopped = true;
            return;
        }
        synchronized (stopLock) {
            if (!stopped) {
                onOutcome(lease, schedule, sentNs, outcome);
            }
        }
    }

    private void onOutcome(String lease, LeaseRequestSchedule schedule, long sentNs, LeaseTable.Outcome outcome) {
        schedule.onOutcome(sentNs, clock.getAsLong(), outcome);
        updateSharedState(lease, schedule);
        if (outcome.granted()) {
            listener.granted(lease, schedule.validity().orElseThrow());
        } else {
            listener.refused(lease, outcome);
        }
    }

    private CompletableFuture<LeaseTable.Outcome> submit(String lease, NextStep.Request request) {
        return request.operation() == LeaseTable.Operation.RENEW
                ? group.renew(lease, request.token(), ttlMs)
                : group.acquire(lease, ttlMs);
    }

    /** Copies the state of the lease from the schedule to the maps that other threads read. */
    private void updateSharedState(String lease, LeaseRequestSchedule schedule) {
        OptionalLong heldByAnother = schedule.heldByAnotherUntilNs();
        if (heldByAnother.isPresent()) {
            heldByAnotherUntilNs.put(lease, heldByAnother.getAsLong());
        } else {
            heldByAnotherUntilNs.remove(lease);
        }
        schedule.validity().ifPresentOrElse(held -> validities.put(lease, held), () -> validities.remove(lease));
    }

    /**
     * Ends all validities, stops the thread and releases the leases that are held. Completes once the group has
     * confirmed all releases. A reply that arrives after the stop is ignored, because another member may hold the lease
     * by then.
     */
    public CompletableFuture<Void> releaseAllAndStop() {
        Map<String, LeaseValidity> held;
        synchronized (stopLock) {
            stopped = true;
            held = Map.copyOf(validities);
            validities.clear();
            held.keySet().forEach(listener::released);
        }
        LockSupport.unpark(thread);
        CompletableFuture<?>[] releases = held.entrySet().stream()
                .map(entry -> group.release(entry.getKey(), entry.getValue().token()))
                .toArray(CompletableFuture[]::new);
        return CompletableFuture.allOf(releases);
    }
}
