package elderseam.testkit.emulator;

import elderseam.core.AttemptOutcome;
import elderseam.core.AttemptOutcome.Status;
import elderseam.policy.ListedEndpoint;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * Decides whether an attempt may go out now, and to which of a destination's endpoints. The subclasses are simple policies to compare
 * the dispatcher's own with. One instance belongs to one dispatcher; times are nanoseconds of virtual time.
 */
abstract class BaselinePolicy {
    private static final long MIN_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

    /** How long to wait where no better time is known. */
    private static final long POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    /** What to do with a request now. */
    sealed interface Decision permits Send, Wait, Reject {}

    /** Send it to an endpoint. */
    record Send(String endpoint) implements Decision {}

    /** Ask again after a time. */
    record Wait(long nanos) implements Decision {}

    /** Give it up. */
    record Reject() implements Decision {}

    private static final Reject REJECT = new Reject();

    private final Map<Long, Integer> turns = new HashMap<>();

    /** Decides on a request; {@code endpoints} holds at least one. */
    abstract Decision decide(long destination, List<String> endpoints, long now);

    /** An endpoint was listed, or its listing has changed. */
    void listed(ListedEndpoint endpoint) {}

    /** An attempt was sent, as decided. */
    void sent(long destination, String endpoint) {}

    /** An attempt has ended. */
    void ended(long destination, String endpoint, long latencyNanos, AttemptOutcome outcome, long now) {}

    /** A decision to wait, for one millisecond at least. */
    static Wait waitFor(long nanos) {
        return new Wait(Math.max(MIN_WAIT_NANOS, nanos));
    }

    /** A decision to send to the next endpoint of a destination, in turn. */
    final Send sendToNext(long destination, List<String> endpoints) {
        return new Send(next(destination, endpoints));
    }

    final String next(long destination, List<String> endpoints) {
        int turn = turns.merge(destination, 1, Integer::sum);
        return endpoints.get(Math.floorMod(turn, endpoints.size()));
    }

    /** One after the other, with retries that back off. */
    static final class RoundRobin extends BaselinePolicy {
        @Override
        Decision decide(long destination, List<String> endpoints, long now) {
            return sendToNext(destination, endpoints);
        }
    }

    /** The endpoint with the fewest calls out. */
    static final class LeastInFlight extends BaselinePolicy {
        private final Map<String, Integer> inFlight = new HashMap<>();

        @Override
        Decision decide(long destination, List<String> endpoints, long now) {
            String best = next(destination, endpoints);
            for (String endpoint : endpoints) {
                if (inFlight.getOrDefault(endpoint, 0) < inFlight.getOrDefault(best, 0)) {
                    best = endpoint;
                }
            }
            return new Send(best);
        }

        @Override
        void sent(long destination, String endpoint) {
            inFlight.merge(endpoint, 1, Integer::sum);
        }

        @Override
        void ended(long destination, String endpoint, long latencyNanos, AttemptOutcome outcome, long now) {
            inFlight.merge(endpoint, -1, Integer::sum);
        }
    }

    /** A token bucket for each destination, of its listed rate: of all senders, as one that does not know the others. */
    static final class TokenBucket extends BaselinePolicy {
        private static final class Bucket {
            private double tokens;
            private long refilledAt;
            private double rate;

            private Bucket(double tokens) {
                this.tokens = tokens;
            }
        }

        private final Map<Long, Bucket> buckets = new HashMap<>();

        @Override
        void listed(ListedEndpoint endpoint) {
            double rate = endpoint.weight();
            buckets.computeIfAbsent(endpoint.destination(), any -> new Bucket(rate / 4)).rate = rate;
        }

        @Override
        Decision decide(long destination, List<String> endpoints, long now) {
            Bucket bucket = buckets.get(destination);
            double refill = (now - bucket.refilledAt) / NANOS_PER_SECOND * bucket.rate;
            bucket.tokens = Math.min(Math.max(1, bucket.rate / 4), bucket.tokens + refill);
            bucket.refilledAt = now;
            if (bucket.tokens < 1) {
                return waitFor((long) ((1 - bucket.tokens) / bucket.rate * NANOS_PER_SECOND));
            }
            bucket.tokens--;
            return sendToNext(destination, endpoints);
        }
    }

    /**
     * Adaptive concurrency for each destination: a limit that follows the ratio of the long-term to the present round trip, with room for
     * its square root (Netflix concurrency-limits, "Gradient2").
     */
    static final class Gradient extends BaselinePolicy {
        private static final double SMOOTHING = 0.2;
        private static final double TOLERANCE = 1.5;
        private static final double BACKOFF_RATIO = 0.9;
        private static final double MIN_GRADIENT = 0.5;
        private static final double LONG_TERM_WEIGHT = 0.99;
        private static final double PRESENT_WEIGHT = 0.01;
        private static final double INITIAL_LIMIT = 20;
        private static final double MAX_LIMIT = 400;

        private static final class State {
            private double limit = INITIAL_LIMIT;
            private double longTermLatency;
            private int inFlight;
        }

        private final Map<Long, State> states = new HashMap<>();

        @Override
        Decision decide(long destination, List<String> endpoints, long now) {
            State state = states.computeIfAbsent(destination, any -> new State());
            return state.inFlight < state.limit ? sendToNext(destination, endpoints) : waitFor(POLL_NANOS);
        }

        @Override
        void sent(long destination, String endpoint) {
            states.get(destination).inFlight++;
        }

        @Override
        void ended(long destination, String endpoint, long latencyNanos, AttemptOutcome outcome, long now) {
            State state = states.get(destination);
            state.inFlight--;
            if (outcome.status() != Status.DELIVERED) {
                state.limit = Math.max(1, state.limit * BACKOFF_RATIO);
                return;
            }
            state.longTermLatency = state.longTermLatency == 0
                    ? latencyNanos
                    : state.longTermLatency * LONG_TERM_WEIGHT + latencyNanos * PRESENT_WEIGHT;
            double ratio = TOLERANCE * state.longTermLatency / latencyNanos;
            double gradient = Math.max(MIN_GRADIENT, Math.min(1, ratio));
            double target = state.limit * gradient + Math.sqrt(state.limit);
            double smoothed = state.limit * (1 - SMOOTHING) + SMOOTHING * target;
            state.limit = Math.max(1, Math.min(MAX_LIMIT, smoothed));
        }
    }

    /**
     * Client-side throttling: a request is refused here with probability (asked - K accepted) / (asked + 1) over two minutes (Beyer and
     * others, "Site Reliability Engineering", chapter 21), with K = 2.
     */
    static final class Throttle extends BaselinePolicy {
        private static final double K = 2;
        private static final double HALF_LIFE_NANOS = TimeUnit.MINUTES.toNanos(1);

        private static final class Counts {
            private double asked;
            private double accepted;
            private long updatedAt;
        }

        private final SplittableRandom random;
        private final Map<Long, Counts> counts = new HashMap<>();

        Throttle(long seed) {
            random = new SplittableRandom(seed);
        }

        /** The counts of a destination, decayed to the present. */
        private Counts countsAt(long destination, long now) {
            Counts current = counts.computeIfAbsent(destination, any -> new Counts());
            double kept = Math.pow(0.5, (now - current.updatedAt) / HALF_LIFE_NANOS);
            current.asked *= kept;
            current.accepted *= kept;
            current.updatedAt = now;
            return current;
        }

        @Override
        Decision decide(long destination, List<String> endpoints, long now) {
            Counts current = countsAt(destination, now);
            current.asked++;
            double rejectProbability = (current.asked - K * current.accepted) / (current.asked + 1);
            return random.nextDouble() < rejectProbability ? REJECT : sendToNext(destination, endpoints);
        }

        @Override
        void ended(long destination, String endpoint, long latencyNanos, AttemptOutcome outcome, long now) {
            Counts current = countsAt(destination, now);
            if (outcome.status() == Status.DELIVERED) {
                current.accepted++;
            }
        }
    }

    /** Knows how each destination really is, and that no other dispatcher has its room: what could be had, not what can. */
    static final class Oracle extends BaselinePolicy {
        private final EmulatedDispatcher.Place place;
        private final Map<Long, Long> retryAfter = new HashMap<>();

        Oracle(EmulatedDispatcher.Place place) {
            this.place = place;
        }

        @Override
        Decision decide(long destination, List<String> endpoints, long now) {
            EmulatedDestination known = place.destination(destination);
            long until = retryAfter.getOrDefault(destination, 0L);
            if (!known.isServing(now) || now < until) {
                return waitFor(Math.max(POLL_NANOS, until - now));
            }
            long waitNanos = known.reserveCall(now);
            if (waitNanos > 0) {
                return waitFor(waitNanos);
            }
            return sendToNext(destination, endpoints);
        }

        @Override
        void ended(long destination, String endpoint, long latencyNanos, AttemptOutcome outcome, long now) {
            if (outcome.retryAfterNs() > 0) {
                retryAfter.merge(destination, now + outcome.retryAfterNs(), Math::max);
            }
        }
    }
}
