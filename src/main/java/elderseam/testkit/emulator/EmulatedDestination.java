package elderseam.testkit.emulator;

import elderseam.core.AttemptOutcome.Progress;
import elderseam.core.AttemptOutcome.Status;
import elderseam.testkit.emulator.Scenario.Fault;
import elderseam.testkit.emulator.WorldListener.ClientRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;

/**
 * A destination as all dispatchers meet it: a limit on calls, endpoints with slots and queues, service times and troubles. After a
 * trouble it is cold: it stands a share of its calls at first, more as it warms up, and collapses under more than a multiple of that.
 */
final class EmulatedDestination {
    /** As a delay: no answer ever comes. */
    static final long NEVER = Long.MAX_VALUE / 4;

    private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final long CONNECT_REFUSED_NANOS = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long NO_SLOT_NANOS = TimeUnit.MILLISECONDS.toNanos(2);
    private static final long REFUSAL_NANOS = TimeUnit.MILLISECONDS.toNanos(5);
    private static final long ERROR_NANOS = TimeUnit.MILLISECONDS.toNanos(10);
    private static final long FLAP_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Calls within a moment that don't make a cold destination collapse, since they may come together by chance. */
    private static final double MIN_COLLAPSE_LOAD = 8;

    /** Share of the calls to a hanging destination that are executed. */
    private static final double HANG_EXECUTED_SHARE = 0.5;

    /** Share of what it stands that {@link #reserveCall} hands out. */
    private static final double RESERVED_SHARE = 0.98;

    /** Reserved calls that may go out at once: those of this part of a second. */
    private static final double RESERVED_BURSTS_PER_SECOND = 40;

    // Purposes of the random numbers of an attempt; normal numbers use up two each.
    private static final int SERVICE_TIME = 1;
    private static final int ERROR = 4;
    private static final int EXECUTED_WHILE_HANGING = 5;
    private static final int LIMIT_NOISE = 7;

    /**
     * How a call ends.
     *
     * @param afterNanos from the call's arrival to its answer; {@link #NEVER} if none comes
     * @param retryAfterNanos how long the caller is asked to stay away; 0 if it is not asked
     * @param headroom reported share of the limit that is left; 0 if none is reported
     * @param limitPerSecond reported limit; 0 if none is reported
     * @param executedAfterNanos from the call's arrival until it takes effect; empty if it never does
     */
    record Reply(
            Progress progress,
            Status status,
            long afterNanos,
            long retryAfterNanos,
            double headroom,
            double limitPerSecond,
            OptionalLong executedAfterNanos) {
        private static Reply notExecuted(Progress progress, Status status, long afterNanos) {
            return new Reply(progress, status, afterNanos, 0, 0, 0, OptionalLong.empty());
        }

        private static Reply answered(Status status, long afterNanos) {
            return notExecuted(Progress.ANSWERED, status, afterNanos);
        }

        private static Reply unanswered(OptionalLong executedAfterNanos) {
            return new Reply(Progress.ANSWERED, Status.TIMED_OUT, NEVER, 0, 0, 0, executedAfterNanos);
        }

        private static Reply refused(long retryAfterNanos, double limitPerSecond) {
            return new Reply(
                    Progress.ANSWERED,
                    Status.OVERLOADED,
                    REFUSAL_NANOS,
                    retryAfterNanos,
                    0,
                    limitPerSecond,
                    OptionalLong.empty());
        }
    }

    private record Trouble(long start, long end, Fault fault, double slowdown) {
        boolean isActive(long now) {
            return now >= start && now < end;
        }

        /** Whether its fault shows: a flapping destination is well every other time. */
        boolean affectsCalls(long now) {
            return fault != Fault.FLAP || (now - start) / FLAP_NANOS % 2 == 0;
        }
    }

    final long id;
    final Scenario.Kind kind;
    final String[] endpoints;
    private final long seed;
    private final WorldListener listener;
    private final CallLimiter limiter;
    private final List<Trouble> troubles = new ArrayList<>();

    /** By endpoint: when each call that it serves or queues will be done. */
    private final List<PriorityQueue<Long>> completions = new ArrayList<>();

    /** When it last began to warm up; long ago if it never was cold. */
    private long warmingSince = Long.MIN_VALUE / 2;

    private long collapsedUntil;

    /** Recent calls while cold; it drains at the rate under which the destination collapses. */
    private double coldLoad;

    private long coldLoadAt;
    private double reservableCalls = 1;
    private long reservableAt;

    EmulatedDestination(long id, Scenario.Kind kind, long seed, WorldListener listener) {
        this.id = id;
        this.kind = kind;
        this.seed = seed;
        this.listener = listener;
        this.limiter = new CallLimiter(kind);
        this.endpoints = new String[kind.endpoints()];
        for (int i = 0; i < endpoints.length; i++) {
            endpoints[i] = "d" + id + "e" + i;
            completions.add(new PriorityQueue<>());
        }
    }

    void addTrouble(long start, long end, Fault fault, double slowdown) {
        troubles.add(new Trouble(start, end, fault, slowdown));
    }

    /** It is cold from now on. */
    void startWarmingUp(long now) {
        warmingSince = now;
        coldLoad = 0;
        coldLoadAt = now;
    }

    private Optional<Trouble> activeTrouble(long now) {
        for (Trouble trouble : troubles) {
            if (trouble.isActive(now)) {
                return Optional.of(trouble);
            }
        }
        return Optional.empty();
    }

    /** Whether calls that begin now would be served, if slowly; for a policy that knows all. */
    boolean isServing(long now) {
        return now >= collapsedUntil
                && activeTrouble(now)
                        .map(trouble -> trouble.fault == Fault.SLOW)
                        .orElse(true);
    }

    /** Calls a second that it stands now. */
    private double sustainableCalls(long now) {
        double warmShare =
                kind.coldMs() == 0 ? 1 : Math.min(1, (double) (now - warmingSince) / (kind.coldMs() * NANOS_PER_MILLI));
        double coldShare = kind.coldShare();
        return kind.callsPerSecond() * (coldShare + (1 - coldShare) * Math.max(0, warmShare));
    }

    /**
     * Reserves a call within what the destination stands, from all dispatchers together; for a policy that knows all.
     *
     * @return 0 if the call may go out now, otherwise how many nanoseconds to wait before asking again
     */
    long reserveCall(long now) {
        double rate = sustainableCalls(now) * RESERVED_SHARE;
        double burst = Math.max(1, rate / RESERVED_BURSTS_PER_SECOND);
        reservableCalls = Math.min(burst, reservableCalls + (now - reservableAt) / NANOS_PER_SECOND * rate);
        reservableAt = now;
        if (reservableCalls < 1) {
            return (long) ((1 - reservableCalls) / rate * NANOS_PER_SECOND);
        }
        reservableCalls--;
        return 0;
    }

    /** A call has arrived at an endpoint. */
    Reply call(long now, int endpoint, ClientRequest request, int attempt) {
        long serviceNanos = serviceNanos(request, attempt);
        Optional<Trouble> trouble = activeTrouble(now).filter(active -> active.affectsCalls(now));
        if (trouble.isPresent() && trouble.get().fault == Fault.SLOW) {
            serviceNanos = (long) (serviceNanos * trouble.get().slowdown);
        } else if (trouble.isPresent()) {
            return replyInTrouble(trouble.get(), now, request, attempt, serviceNanos);
        }
        if (now < collapsedUntil || collapses(now)) {
            return Reply.answered(Status.ERROR, ERROR_NANOS);
        }
        long limitWaitNanos = limiter.waitNanos(now);
        if (limitWaitNanos > 0) {
            return Reply.refused(retryAfter(limitWaitNanos), reportedLimit(request, attempt));
        }
        return serve(now, endpoint, request, attempt, serviceNanos);
    }

    /** Draws from a log-normal distribution whose mean is the kind's service time. */
    private long serviceNanos(ClientRequest request, int attempt) {
        double spread = kind.spread();
        double exponent =
                spread * RandomStreams.normal(seed, request.id(), attempt, SERVICE_TIME) - spread * spread / 2;
        return (long) (kind.serviceMs() * NANOS_PER_MILLI * Math.exp(exponent));
    }

    private Reply replyInTrouble(Trouble trouble, long now, ClientRequest request, int attempt, long serviceNanos) {
        return switch (trouble.fault) {
            case FAIL, FLAP -> Reply.notExecuted(Progress.NOT_CONNECTED, Status.BROKEN, CONNECT_REFUSED_NANOS);
            case ERRORS -> Reply.answered(Status.ERROR, ERROR_NANOS);
            case SHUT -> Reply.refused(retryAfter(trouble.end - now), 0);
            case HANG -> {
                double chance = RandomStreams.unit(seed, request.id(), attempt, EXECUTED_WHILE_HANGING);
                boolean executed = chance < HANG_EXECUTED_SHARE;
                yield Reply.unanswered(executed ? OptionalLong.of(serviceNanos) : OptionalLong.empty());
            }
            case SILENT -> Reply.notExecuted(Progress.NOT_CONNECTED, Status.TIMED_OUT, NEVER);
            case HALF_OPEN -> Reply.unanswered(OptionalLong.of(serviceNanos));
            case SLOW -> throw new IllegalStateException("a slow destination serves its calls");
        };
    }

    private long retryAfter(long waitNanos) {
        return kind.sendsRetryAfter() ? waitNanos : 0;
    }

    /** Counts a call while cold, and collapses if it is one too many. */
    private boolean collapses(long now) {
        if (now - warmingSince >= kind.coldMs() * NANOS_PER_MILLI) {
            return false;
        }
        double collapseRate = kind.collapseMultiple() * sustainableCalls(now);
        double drained = Math.max(0, now - coldLoadAt) / NANOS_PER_SECOND * collapseRate;
        coldLoad = Math.max(0, coldLoad - drained) + 1;
        coldLoadAt = now;
        if (coldLoad <= Math.max(MIN_COLLAPSE_LOAD, collapseRate)) {
            return false;
        }
        collapsedUntil = now + kind.collapseMs() * NANOS_PER_MILLI;
        startWarmingUp(collapsedUntil);
        listener.collapsed(now, id);
        return true;
    }

    private Reply serve(long now, int endpoint, ClientRequest request, int attempt, long serviceNanos) {
        OptionalLong queueNanos =
                kind.slots() == 0 ? OptionalLong.of(0) : enqueue(now, completions.get(endpoint), serviceNanos);
        if (queueNanos.isEmpty()) {
            return Reply.answered(Status.NO_SLOT, NO_SLOT_NANOS);
        }
        if (RandomStreams.unit(seed, request.id(), attempt, ERROR) < kind.errorShare()) {
            return Reply.answered(Status.ERROR, ERROR_NANOS);
        }
        long afterNanos = queueNanos.getAsLong() + serviceNanos;
        double headroom = kind.reportsLimit() ? limiter.headroom() : 0;
        return new Reply(
                Progress.ANSWERED,
                Status.DELIVERED,
                afterNanos,
                0,
                headroom,
                reportedLimit(request, attempt),
                OptionalLong.of(afterNanos));
    }

    /** Adds a call to an endpoint; returns how long it waits for a slot, or nothing if the queue is full. */
    private OptionalLong enqueue(long now, PriorityQueue<Long> endpointCompletions, long serviceNanos) {
        while (!endpointCompletions.isEmpty() && endpointCompletions.peek() <= now) {
            endpointCompletions.poll();
        }
        int inside = endpointCompletions.size();
        if (inside >= kind.slots() + kind.queueLength()) {
            return OptionalLong.empty();
        }
        long start = now;
        if (inside >= kind.slots()) {
            List<Long> ordered = new ArrayList<>(endpointCompletions);
            ordered.sort(null);
            start = ordered.get(inside - kind.slots()); // those above the slots wait in front of it
        }
        endpointCompletions.add(start + serviceNanos);
        return OptionalLong.of(start - now);
    }

    private double reportedLimit(ClientRequest request, int attempt) {
        if (!kind.reportsLimit()) {
            return 0;
        }
        double noise = kind.reportNoise() * RandomStreams.normal(seed, request.id(), attempt, LIMIT_NOISE);
        return kind.callsPerSecond() * Math.max(0.1, 1 + noise);
    }
}
