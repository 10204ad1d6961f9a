package elderseam.testkit.emulator;

import elderseam.core.ActiveRequest;
import elderseam.core.AttemptOutcome;
import elderseam.core.AttemptOutcome.Status;
import elderseam.policy.ListedEndpoint;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** Whether a call may go out now, and to which of a destination's endpoints: policies to compare the module with. */
abstract class BaselinePolicy {
    /** An endpoint; or to ask again later; or that the message is to be refused. */
    record Verdict(String endpoint, boolean refuse, long laterNs) {
        static Verdict to(String endpoint) {
            return new Verdict(endpoint, false, 0);
        }

        static Verdict later(long ns) {
            return new Verdict(null, false, Math.max(1_000_000, ns));
        }
    }

    static final Verdict REFUSE = new Verdict(null, true, 0);
    private final Map<Long, Integer> turns = new HashMap<>();

    abstract Verdict pick(long destination, List<String> of, ActiveRequest.Message m, int attempts, long now);

    void listed(ListedEndpoint e) {}

    void sent(long destination, String endpoint, long now) {}

    void ended(long destination, String endpoint, long tookNs, AttemptOutcome end, long now) {}

    final String next(long destination, List<String> of) {
        return of.get(Math.floorMod(turns.merge(destination, 1, Integer::sum), of.size()));
    }

    /** One after the other, with retries that back off. */
    static final class RoundRobin extends BaselinePolicy {
        @Override
        Verdict pick(long destination, List<String> of, ActiveRequest.Message m, int attempts, long now) {
            return Verdict.to(next(destination, of));
        }
    }

    /** The endpoint with the fewest calls out. */
    static final class LeastInFlight extends BaselinePolicy {
        private final Map<String, Integer> out = new HashMap<>();

        @Override
        Verdict pick(long destination, List<String> of, ActiveRequest.Message m, int attempts, long now) {
            String best = next(destination, of);
            for (String e : of) {
                best = out.getOrDefault(e, 0) < out.getOrDefault(best, 0) ? e : best;
            }
            return Verdict.to(best);
        }

        @Override
        void sent(long destination, String endpoint, long now) {
            out.merge(endpoint, 1, Integer::sum);
        }

        @Override
        void ended(long destination, String endpoint, long tookNs, AttemptOutcome end, long now) {
            out.merge(endpoint, -1, Integer::sum);
        }
    }

    /** A token bucket for each destination, of its listed rate: of all senders, as one that does not know the others. */
    static final class TokenBucket extends BaselinePolicy {
        private final Map<Long, double[]> buckets = new HashMap<>(); // tokens, when, rate

        @Override
        void listed(ListedEndpoint e) {
            buckets.computeIfAbsent(e.destination(), d -> new double[] {e.weight() / 4, 0, 0})[2] = e.weight();
        }

        @Override
        Verdict pick(long destination, List<String> of, ActiveRequest.Message m, int attempts, long now) {
            double[] b = buckets.get(destination);
            b[0] = Math.min(Math.max(1, b[2] / 4), b[0] + (now - b[1]) / 1e9 * b[2]);
            b[1] = now;
            if (b[0] < 1) {
                return Verdict.later((long) ((1 - b[0]) / b[2] * 1e9));
            }
            b[0]--;
            return Verdict.to(next(destination, of));
        }
    }

    /**
     * Adaptive concurrency for each destination: a limit that follows the ratio of the long-term to the present round trip, with room for
     * its square root (Netflix concurrency-limits, "Gradient2").
     */
    static final class Gradient extends BaselinePolicy {
        private static final double SMOOTHING = 0.2;
        private static final double TOLERANCE = 1.5;
        private static final double DROP = 0.9;

        private static final class State {
            double limit = 20;
            double longRtt;
            int out;
        }

        private final Map<Long, State> states = new HashMap<>();

        @Override
        Verdict pick(long destination, List<String> of, ActiveRequest.Message m, int attempts, long now) {
            State s = states.computeIfAbsent(destination, d -> new State());
            return s.out < s.limit ? Verdict.to(next(destination, of)) : Verdict.later(20_000_000);
        }

        @Override
        void sent(long destination, String endpoint, long now) {
            states.get(destination).out++;
        }

        @Override
        void ended(long destination, String endpoint, long tookNs, AttemptOutcome end, long now) {
            State s = states.get(destination);
            s.out--;
            if (end.status() != Status.DELIVERED) {
                s.limit = Math.max(1, s.limit * DROP);
                return;
            }
            s.longRtt = s.longRtt == 0 ? tookNs : s.longRtt * 0.99 + tookNs * 0.01;
            double gradient = Math.max(0.5, Math.min(1, TOLERANCE * s.longRtt / tookNs));
            s.limit = Math.max(
                    1,
                    Math.min(400, s.limit * (1 - SMOOTHING) + SMOOTHING * (s.limit * gradient + Math.sqrt(s.limit))));
        }
    }

    /**
     * Client-side throttling: a request is refused here with probability (asked - K accepted) / (asked + 1) over two minutes (Beyer and
     * others, "Site Reliability Engineering", chapter 21), with K = 2.
     */
    static final class Throttle extends BaselinePolicy {
        private static final double K = 2;
        private static final double HALF_LIFE_NS = 60e9;

        private final SplittableRandom random;
        private final Map<Long, double[]> counts = new HashMap<>(); // asked, accepted, when

        Throttle(long seed) {
            random = new SplittableRandom(seed);
        }

        private double[] at(long destination, long now) {
            double[] c = counts.computeIfAbsent(destination, d -> new double[3]);
            double kept = Math.pow(0.5, (now - c[2]) / HALF_LIFE_NS);
            c[0] *= kept;
            c[1] *= kept;
            c[2] = now;
            return c;
        }

        @Override
        Verdict pick(long destination, List<String> of, ActiveRequest.Message m, int attempts, long now) {
            double[] c = at(destination, now);
            c[0]++;
            return random.nextDouble() < (c[0] - K * c[1]) / (c[0] + 1) ? REFUSE : Verdict.to(next(destination, of));
        }

        @Override
        void ended(long destination, String endpoint, long tookNs, AttemptOutcome end, long now) {
            at(destination, now)[1] += end.status() == Status.DELIVERED ? 1 : 0;
        }
    }

    /** Knows how each destination really is, and that no other dispatcher has its room: what could be had, not what can. */
    static final class Oracle extends BaselinePolicy {
        private final EmulatedDispatcher.Place place;
        private final Map<Long, Long> waits = new HashMap<>(); // it keeps the rules all the same

        Oracle(EmulatedDispatcher.Place place) {
            this.place = place;
        }

        @Override
        Verdict pick(long destination, List<String> of, ActiveRequest.Message m, int attempts, long now) {
            EmulatedDestination d = place.destination(destination);
            long told = waits.getOrDefault(destination, 0L);
            if (!d.isServing(now) || now < told) {
                return Verdict.later(Math.max(20_000_000, told - now));
            }
            long wait = d.reserveCall(now);
            if (wait > 0) {
                return Verdict.later(wait);
            }
            return Verdict.to(next(destination, of));
        }

        @Override
        void ended(long destination, String endpoint, long tookNs, AttemptOutcome end, long now) {
            if (end.retryAfterNs() > 0) {
                waits.merge(destination, now + end.retryAfterNs(), Math::max);
            }
        }
    }
}
