package elderseam.rules;

import elderseam.core.RequestDispatcher;
import elderseam.rules.cel.EvaluationError;
import elderseam.rules.cel.Program;
import java.time.Duration;
import java.util.List;

/** The actions that a rule may have, each for one key of its section. */
final class RuleActions {
    private static final EvaluationError NO_SUCH_CLASS = new EvaluationError("no such class");
    private static final EvaluationError NO_SUCH_TENANT = new EvaluationError("no such tenant");
    private static final EvaluationError NEGATIVE_DEADLINE = new EvaluationError("a deadline below 0");
    private static final EvaluationError NEGATIVE_TIME = new EvaluationError("a time below 0");

    private static final long MAX_DURATION_SECONDS = 1_000_000;
    private static final long MAX_DURATION_NS = MAX_DURATION_SECONDS * 1_000_000_000L;

    private RuleActions() {}

    /** Whether the number of a destination may occur on the wire. */
    static boolean isDestination(long number) {
        return number >= 0 && number < RequestDispatcher.NO_DESTINATION;
    }

    /** A duration in nanoseconds, at most {@link #MAX_DURATION_NS}; below 0 if it is negative or no duration. */
    private static long toNanos(Object value) {
        if (!(value instanceof Duration duration)) {
            return -1;
        }
        return duration.toSeconds() > MAX_DURATION_SECONDS ? MAX_DURATION_NS : duration.toNanos();
    }

    /** The class, by name. */
    static final class SetClass implements RuleAction {
        private final Program name;
        private final List<String> classes;
        private int classIndex;

        SetClass(Program name, List<String> classes) {
            this.name = name;
            this.classes = classes;
        }

        @Override
        public EvaluationError evaluate(RuleInput input) {
            classIndex = KnownNames.find(classes, name.value(input));
            if (input.error() != null) {
                return input.error();
            }
            return classIndex < 0 ? NO_SUCH_CLASS : null;
        }

        @Override
        public void apply(RuleResult result) {
            result.classIndex = classIndex;
        }
    }

    /** The tenant, by name. */
    static final class SetTenant implements RuleAction {
        private final Program name;
        private final List<String> tenants;
        private int tenantIndex;

        SetTenant(Program name, List<String> tenants) {
            this.name = name;
            this.tenants = tenants;
        }

        @Override
        public EvaluationError evaluate(RuleInput input) {
            tenantIndex = KnownNames.find(tenants, name.value(input));
            if (input.error() != null) {
                return input.error();
            }
            return tenantIndex < 0 ? NO_SUCH_TENANT : null;
        }

        @Override
        public void apply(RuleResult result) {
            result.tenantIndex = tenantIndex;
        }
    }

    /** The destination, by number. */
    static final class SetDestination implements RuleAction {
        private final Program number;
        private long destination;

        SetDestination(Program number) {
            this.number = number;
        }

        @Override
        public EvaluationError evaluate(RuleInput input) {
            destination = number.intValue(input);
            if (input.error() != null) {
                return input.error();
            }
            return isDestination(destination) ? null : new EvaluationError("no destination: " + destination);
        }

        @Override
        public void apply(RuleResult result) {
            result.destination = destination;
        }
    }

    /** The destination, by a route. */
    static final class FollowRoute implements RuleAction {
        private final Route route;
        private final String subset;
        private final Program routeKey;
        private long destination;

        /** {@code subset}: of the route's members; empty for all. {@code routeKey}: the string that decides. */
        FollowRoute(Route route, String subset, Program routeKey) {
            this.route = route;
            this.subset = subset;
            this.routeKey = routeKey;
        }

        @Override
        public EvaluationError evaluate(RuleInput input) {
            if (!(routeKey.value(input) instanceof String key)) {
                return input.error() != null ? input.error() : new EvaluationError("a route's key that is no string");
            }
            String override =
                    route.header().isEmpty() ? "" : input.attributes().headers().getOrDefault(route.header(), "");
            destination = route.destination(key, subset, override, input.wallMs(), input.environment()::breaker);
            return destination == Route.NO_DESTINATION
                    ? new EvaluationError("'" + override + "' in " + route.header()
                            + " is no destination or subset of route " + route.name())
                    : null;
        }

        @Override
        public void apply(RuleResult result) {
            result.destination = destination;
        }
    }

    /** The idempotency key. */
    static final class SetKey implements RuleAction {
        private static final int MAX_KEY_CHARS = 512;

        private final Program keyProgram;
        private String key;

        SetKey(Program keyProgram) {
            this.keyProgram = keyProgram;
        }

        @Override
        public EvaluationError evaluate(RuleInput input) {
            key = keyProgram.value(input) instanceof String text ? text : "";
            if (input.error() != null) {
                return input.error();
            }
            boolean valid = !key.isEmpty() && key.length() <= MAX_KEY_CHARS;
            return valid
                    ? null
                    : new EvaluationError("a key of " + key.length() + " characters, allowed: 1 to " + MAX_KEY_CHARS);
        }

        @Override
        public void apply(RuleResult result) {
            result.key = key;
        }
    }

    /** A shorter deadline, from now on. */
    static final class ShortenDeadline implements RuleAction {
        private final Program duration;
        private long deadlineNs;

        ShortenDeadline(Program duration) {
            this.duration = duration;
        }

        @Override
        public EvaluationError evaluate(RuleInput input) {
            deadlineNs = toNanos(duration.value(input));
            if (input.error() != null) {
                return input.error();
            }
            return deadlineNs < 0 ? NEGATIVE_DEADLINE : null;
        }

        @Override
        public void apply(RuleResult result) {
            result.deadlineNs = Math.min(result.deadlineNs, deadlineNs);
        }
    }

    /** Rejection, with a Retry-After. */
    static final class Reject implements RuleAction {
        private final Program retryAfter;
        private long retryAfterNs;

        Reject(Program retryAfter) {
            this.retryAfter = retryAfter;
        }

        @Override
        public EvaluationError evaluate(RuleInput input) {
            retryAfterNs = toNanos(retryAfter.value(input));
            if (input.error() != null) {
                return input.error();
            }
            return retryAfterNs < 0 ? NEGATIVE_TIME : null;
        }

        @Override
        public void apply(RuleResult result) {
            result.retryAfterNs = retryAfterNs;
        }
    }

    /** The priority, a constant. */
    record SetPriority(int priority) implements RuleAction {
        @Override
        public EvaluationError evaluate(RuleInput input) {
            return null;
        }

        @Override
        public void apply(RuleResult result) {
            result.priority = priority;
        }
    }

    /** A rate limit that the message falls under. */
    static final class ChargeLimit implements RuleAction {
        private final KeyedRateLimiter limiter;
        private final Program limitKey;
        private String key;

        ChargeLimit(KeyedRateLimiter limiter, Program limitKey) {
            this.limiter = limiter;
            this.limitKey = limitKey;
        }

        @Override
        public EvaluationError evaluate(RuleInput input) {
            key = limitKey.value(input) instanceof String text ? text : "";
            return input.error();
        }

        @Override
        public void apply(RuleResult result) {
            result.charges.add(new RuleResult.Charge(limiter, key));
        }
    }
}
