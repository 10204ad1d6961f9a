package elderseam.policy;

import static elderseam.policy.PolicyTestHarness.MS;
import static elderseam.policy.PolicyTestHarness.S;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Random legal events; the harness asserts the rules at every action. */
class PropertyTest {
    private long delivered;

    private List<String> run(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        boolean apart = random.nextInt(3) == 0;
        DestinationKind kind = new DestinationKind(apart, random.nextInt(3) == 0 ? 4 : 1);
        PolicyTestHarness harness = new PolicyTestHarness(
                PolicyTestHarness.settings(1 + random.nextInt(12), kind, random.nextBoolean()), seed);
        int dests = 1 + random.nextInt(4);
        for (int d = 0; d < dests; d++) {
            harness.list(
                    ListUpdateKind.CHANGES,
                    PolicyTestHarness.endpoint("a:" + d, d, 0, EndpointStatus.READY),
                    PolicyTestHarness.endpoint("b:" + d, d, 1, EndpointStatus.READY));
        }
        for (int step = 0; step < 600; step++) {
            int failing = step / 100 % (dests + 2);
            if (random.nextInt(3) == 0) {
                harness.patience = random.nextInt(4) == 0 ? 0.02 + 0.5 * random.nextDouble() : 1;
                harness.submit(random.nextInt(3), random.nextInt(6) - 1, random.nextInt(dests));
            }
            if (random.nextInt(150) == 0) { // replaced in bulk, or an old list after a gap
                String suffix = random.nextBoolean() ? "" : ":" + step;
                ListedEndpoint[] all = new ListedEndpoint[dests];
                for (int d = 0; d < dests; d++) {
                    all[d] = PolicyTestHarness.endpoint("a:" + d + suffix, d, 0, EndpointStatus.READY);
                }
                harness.list(random.nextBoolean() ? ListUpdateKind.COMPLETE : ListUpdateKind.CACHED, all);
            }
            for (PolicyTestHarness.Attempt a : harness.out()) {
                int roll = random.nextInt(100);
                boolean ill = harness.messages.get(a.id()).msg.destination() == failing;
                if (roll < 25 && !ill) {
                    harness.answer(a, AttemptResult.DELIVERED, 0);
                } else if (roll < (ill ? 30 : 28)) {
                    AttemptResult r = AttemptResult.values()[1 + random.nextInt(AttemptResult.values().length - 1)];
                    boolean cancelled = r == AttemptResult.CANCELLED || r == AttemptResult.TIMEOUT;
                    harness.answer(
                            a,
                            cancelled ? AttemptResult.RESET : r,
                            r == AttemptResult.FULL && random.nextBoolean() ? random.nextInt(3000) * MS : 0);
                }
            }
            if (random.nextInt(80) == 0) {
                String side = random.nextBoolean() ? "a:" : "b:";
                EndpointStatus to = EndpointStatus.values()[random.nextInt(3)];
                int d = random.nextInt(dests);
                harness.list(
                        ListUpdateKind.CHANGES, PolicyTestHarness.endpoint(side + d, d, side.equals("a:") ? 0 : 1, to));
            }
            if (random.nextInt(60) == 0) {
                harness.messages.values().stream()
                        .filter(m -> m.end == null)
                        .findFirst()
                        .ifPresent(m -> {
                            m.end = "withdrawn";
                            harness.policy.withdrawn(harness.now, m.msg.id());
                        });
            }
            harness.policy.turnEnd(harness.now);
            harness.pass(5 * MS * (1 + random.nextInt(20)));
        }
        harness.pass(30 * S);
        harness.messages.values().forEach(m -> assertTrue(m.end != null, "unanswered " + m.msg));
        delivered += harness.messages.values().stream()
                .filter(m -> "delivered".equals(m.end))
                .count();
        return harness.trace;
    }

    @Test
    void rulesHoldUnderRandomEvents() {
        for (long seed = 1; seed <= 30; seed++) {
            run(seed);
        }
        assertTrue(delivered > 1000, "the events leave room to deliver: " + delivered);
    }

    @Test
    void sameEventsSameActions() {
        for (long seed = 1; seed <= 4; seed++) {
            assertEquals(run(seed), run(seed));
        }
    }

    /** Many couriers with two slots against one limited destination that goes away and returns. */
    @Test
    void rulesHoldForManySmallSenders() {
        int senders = 40;
        PolicySettings s = PolicyTestHarness.settings(2, new DestinationKind(false, 1), true);
        PolicySettings small = new PolicySettings(
                s.classes(),
                s.kinds(),
                s.tenantRates(),
                s.slots(),
                12,
                s.maxAttempts(),
                senders,
                0,
                true,
                1,
                true,
                false,
                false,
                WeightPrecision.ROUGH,
                s.maxRetryAfterNs(),
                s.drainGraceNs(),
                s.coldRateRatio(),
                s.warmUpNs(),
                s.overloadMultiple(),
                s.overloadNs(),
                s.keyRestNs(),
                s.connections(),
                s.prices());
        SplittableRandom random = new SplittableRandom(11);
        PolicyTestHarness[] rigs = new PolicyTestHarness[senders];
        for (int i = 0; i < senders; i++) {
            rigs[i] = new PolicyTestHarness(small, i);
            rigs[i].list(
                    ListUpdateKind.CACHED,
                    new ListedEndpoint("a:1", 1, 0, 0, EndpointStatus.READY, 8),
                    new ListedEndpoint("b:1", 2, 0, 0, EndpointStatus.READY, 8));
        }
        int onReturn = 0;
        long done = 0;
        for (int step = 0; step < 600; step++) { // 30 s: down from 5 s to 15 s, then cold at a quarter
            boolean down = step >= 100 && step < 300;
            int room = random.nextInt(2);
            for (PolicyTestHarness r : rigs) {
                if (random.nextInt(100) == 0) {
                    r.submit(random.nextInt(3), random.nextInt(4) - 1, 1 + random.nextInt(2));
                }
                for (PolicyTestHarness.Attempt a : r.out()) {
                    boolean failing = a.endpoint().equals("a:1");
                    onReturn += failing && step >= 300 && step < 340 ? 1 : 0;
                    boolean full = failing && !down && step > 300 && room-- <= 0;
                    r.answer(
                            a,
                            failing && down
                                    ? AttemptResult.CONNECT_FAILED
                                    : full ? AttemptResult.FULL : AttemptResult.DELIVERED,
                            0);
                }
                r.policy.turnEnd(r.now);
                r.pass(50 * MS);
            }
        }
        for (PolicyTestHarness r : rigs) {
            r.pass(30 * S);
            r.messages.values().forEach(m -> assertTrue(m.end != null, "unanswered " + m.msg));
            done += r.messages.values().stream()
                    .filter(m -> "delivered".equals(m.end))
                    .count();
        }
        // what all send in the first 2 s after the return: some 5 of the traffic itself, and few of the parked
        assertTrue(onReturn <= 20, onReturn + " calls in the first 2 s after the return");
        assertTrue(done >= 120, done + " delivered");
    }
}
