package elderseam.testkit.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import elderseam.core.ActiveRequest;
import elderseam.core.AttemptListener;
import elderseam.core.AttemptOutcome;
import elderseam.core.FinalOutcome;
import elderseam.policy.EndpointStatus;
import elderseam.policy.ListUpdateKind;
import elderseam.policy.ListedEndpoint;
import elderseam.testkit.emulator.RuleCheckers.Rule;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Each rule is broken once by a dispatcher with that very fault, in a whole world, and its checker must say so. */
class RuleCheckersTest {
    /** Sends each message at once to its first endpoint, and answers as it hears; keeps to every rule but the planted one. */
    private static final class Faulty implements EmulatedDispatcher {
        private final Place place;
        private final Rule fault;
        private final Map<Long, Long> waits = new HashMap<>();
        private final Map<Long, String> endpoints = new HashMap<>();
        private final Set<String> draining = new java.util.HashSet<>();
        private int out;

        Faulty(Place place, Rule fault) {
            this.place = place;
            this.fault = fault;
        }

        @Override
        public void hosts(ListUpdateKind kind, List<ListedEndpoint> list) {
            for (ListedEndpoint e : list) {
                if (e.status() != EndpointStatus.READY && fault != Rule.DRAIN_BROKEN) {
                    draining.add(e.address());
                    endpoints.remove(e.destination(), e.address());
                } else if (e.status() != EndpointStatus.GONE) {
                    endpoints.putIfAbsent(e.destination(), e.address());
                }
            }
            list.stream()
                    .filter(e -> !draining.contains(e.address()))
                    .forEach(e -> endpoints.putIfAbsent(e.destination(), e.address()));
        }

        @Override
        public FinalOutcome take(ActiveRequest.Message m) {
            long now = place.time().now();
            boolean waits = now < this.waits.getOrDefault(m.destination(), 0L) && fault != Rule.WAIT_BROKEN;
            if (waits
                    || !endpoints.containsKey(m.destination())
                    || (out >= place.plan().fleet().slots() && fault != Rule.ABOVE_SLOTS)) {
                return FinalOutcome.rejected(1);
            }
            send(m, 0, m.deadline() - 100_000_000);
            return null;
        }

        private void send(ActiveRequest.Message m, int attempt, long by) {
            out++;
            place.send(m, endpoints.get(m.destination()), by, by, new AttemptListener() {
                @Override
                public boolean maySend() {
                    return true;
                }

                @Override
                public void ended(AttemptOutcome end) {
                    out--;
                    if (end.retryAfterNs() > 0) {
                        waits.put(m.destination(), place.time().now() + end.retryAfterNs());
                    }
                    Faulty.this.ended(m, attempt, end);
                }

                @Override
                public void answeredLate(AttemptOutcome end) {}
            });
            if (fault == Rule.TWO_OUT && attempt == 0 && m.id().equals("m100")) {
                place.send(m, endpoints.get(m.destination()), by, by, new AttemptListener() {
                    @Override
                    public boolean maySend() {
                        return true;
                    }

                    @Override
                    public void ended(AttemptOutcome end) {}

                    @Override
                    public void answeredLate(AttemptOutcome end) {}
                });
            }
        }

        private void ended(ActiveRequest.Message m, int attempt, AttemptOutcome end) {
            boolean delivered = end.status() == AttemptOutcome.Status.DELIVERED;
            if (fault == Rule.EFFECT_TWICE && attempt == 0 && m.classIndex() == 2) {
                place.at(place.time().now() + 1, () -> send(m, 1, m.deadline() - 100_000_000));
                return;
            }
            if (fault == Rule.LOST && m.id().equals("m100")) {
                return;
            }
            FinalOutcome answer = delivered
                    ? FinalOutcome.DELIVERED
                    : end.mayHaveRun() ? FinalOutcome.FAILED : FinalOutcome.rejected(1);
            if (fault == Rule.LATE && m.id().equals("m100")) {
                place.at(m.deadline() + 1_000_000_000L, () -> place.ended(m, answer));
                return;
            }
            place.ended(m, answer);
            if (fault == Rule.ANSWERED_TWICE && m.id().equals("m100")) {
                place.ended(m, answer);
            }
        }
    }

    private static final String PLAN = """
            [scenario planted]
            seconds = 20
            [fleet main]
            dispatchers = 2
            slots = 2
            [kind bank]
            destinations = 3
            endpoints = 2
            per_s = 20
            load = 0.8
            errors = 0.05
            [trouble shut]
            kind = bank
            part = 0.4
            at = 5
            for = 4
            fault = shut
            [drain one]
            kind = bank
            part = 0.4
            at = 10
            """;

    private static RuleCheckers play(Rule fault) throws Exception {
        Scenario plan = ScenarioFile.of("planted", PLAN.lines().toList(), Map.of());
        RuleCheckers checkers = new RuleCheckers(plan.fleet().slots());
        new EmulatedWorld(plan, (place, store, seed) -> new Faulty(place, fault), 1, List.of(checkers)).run(s -> {});
        return checkers;
    }

    @ParameterizedTest
    @EnumSource(Rule.class)
    void aPlantedFaultIsCaught(Rule fault) throws Exception {
        RuleCheckers c = play(fault);
        assertTrue(
                c.broken().getOrDefault(fault, 0) > 0,
                () -> fault + " is not among " + c.broken() + "\n" + c.violations());
        assertTrue(c.violations().contains(fault.name()), c.violations());
    }

    /** And without a fault nothing is said. */
    @Test
    void withoutAFaultNothingIsBroken() throws Exception {
        assertEquals(Map.of(), play(null).broken());
    }
}
