package elderseam.testkit.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import elderseam.core.AttemptOutcome.Progress;
import elderseam.core.AttemptOutcome.Status;
import elderseam.settings.SettingsFault;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

class EmulatedWorldTest {
    private static final long MS = 1_000_000;
    private static final long S = 1_000 * MS;
    private static final String BASE = """
            [scenario small]
            seconds = 30
            [fleet main]
            dispatchers = 3
            [kind bank]
            destinations = 4
            per_s = 20
            cold_ms = 4000
            [kind shop]
            destinations = 6
            per_s = 5
            slots = 2
            limit = window
            [clients all]
            tenants = 3
            """;

    private static Map<String, Double> play(String more, String policy, long seed, RuleCheckers checkers)
            throws Exception {
        Scenario plan = ScenarioFile.of("small", (BASE + more).lines().toList(), Map.of());
        RunStatistics tally = new RunStatistics(plan);
        new EmulatedWorld(plan, policy, seed, List.of(tally, checkers)).run(s -> {});
        return tally.figures();
    }

    private static String trouble(Scenario.Fault fault) {
        return "[trouble t]\nkind = bank\npart = 0.5\nat = 8\nfor = 6\nfault = "
                + fault.name().toLowerCase(Locale.ROOT) + "\n";
    }

    /** The real core, through each kind of trouble with a kill in it: no rule is broken, and what is left is served. */
    @ParameterizedTest
    @EnumSource(Scenario.Fault.class)
    void theModuleKeepsTheRulesInEachTrouble(Scenario.Fault fault) throws Exception {
        RuleCheckers c = new RuleCheckers(64);
        Map<String, Double> f = play(
                trouble(fault) + "[restart r]\nat = 10\nwithin = 2\npart = 0.6\nhow = kill\n[network n]\nloss = 0.01\n",
                "module",
                1,
                c);
        assertEquals(Map.of(), c.broken(), c.violations());
        assertTrue(f.get("service") > 0.75 && f.get("messages") > 1_000, f.toString());
    }

    @ParameterizedTest
    @ValueSource(strings = {"arrivals = bursty", "arrivals = clumped", "arrivals = diurnal\nmonth_end = on"})
    void theModuleKeepsTheRulesHoweverMessagesArrive(String arrivals) throws Exception {
        RuleCheckers c = new RuleCheckers(64);
        play(
                arrivals
                        + "\n[flood f]\ntenant = 2\nfactor = 5.9\nat = 5\nfor = 10\n[restart r]\nat = 12\nwithin = 2\npart = 1\nhow = term\n"
                        + "[drain d]\nkind = bank\npart = 0.5\nat = 6\n[discovery d]\nlate_ms = 400\ndown_at = 5\ndown_for = 4\nwrong = 0.2\n",
                "module",
                2,
                c);
        assertEquals(Map.of(), c.broken(), c.violations());
    }

    /** Few messages each, most of them killed at once while discovery is overbooked: calls add up to little more than messages. */
    @ParameterizedTest
    @ValueSource(ints = {8, 48})
    void aFleetOutlivesAMassKill(int dispatchers) throws Exception {
        Scenario plan = ScenarioFile.of(
                "herd",
                (BASE.replace("dispatchers = 3", "dispatchers = " + dispatchers) + trouble(Scenario.Fault.FAIL)
                                + "[restart r]\nat = 12\nwithin = 0.5\npart = 0.8\nhow = kill\n[discovery d]\nlate_ms = 400\ndown_at = 12\ndown_for = 4\n")
                        .lines()
                        .toList(),
                Map.of());
        RuleCheckers c = new RuleCheckers(64);
        RunStatistics tally = new RunStatistics(plan);
        new EmulatedWorld(plan, "module", 4, List.of(tally, c)).run(s -> {});
        Map<String, Double> f = tally.figures();
        assertEquals(Map.of(), c.broken(), c.violations());
        assertTrue(f.get("service") > 0.7, f.toString());
        assertTrue(java.util.Arrays.stream(tally.callsBySecond()).sum() < 1.4 * f.get("messages"), f.toString());
    }

    /** One seed gives one course, to the last figure; another seed another. */
    @Test
    void oneSeedGivesOneCourse() throws Exception {
        for (String policy : Policies.names()) {
            assertEquals(
                    play(trouble(Scenario.Fault.HANG), policy, 3, new RuleCheckers(64)),
                    play(trouble(Scenario.Fault.HANG), policy, 3, new RuleCheckers(64)),
                    policy);
        }
        assertNotEquals(play("", "module", 3, new RuleCheckers(64)), play("", "module", 4, new RuleCheckers(64)));
    }

    /** What hangs and what is felled costs plain retries dear, and the module little; who knows all loses least. */
    @Test
    void policiesStandInTheirOrder() throws Exception {
        String day = trouble(Scenario.Fault.HANG)
                + trouble(Scenario.Fault.FAIL)
                        .replace("[trouble t]", "[trouble u]")
                        .replace("bank", "shop");
        double module = play(day, "module", 1, new RuleCheckers(64)).get("service");
        double robin = play(day, "robin", 1, new RuleCheckers(64)).get("service");
        double oracle = play(day, "oracle", 1, new RuleCheckers(64)).get("service");
        assertTrue(module > robin && oracle > robin, "module " + module + ", robin " + robin + ", oracle " + oracle);
    }

    // ---------------------------------------------------------------- the model itself

    private static EmulatedDestination destination(String values) throws SettingsFault {
        Scenario p = ScenarioFile.of(
                "d",
                ("[kind k]\nerrors = 0\nspread = 0\nservice_ms = 10\n" + values)
                        .lines()
                        .toList(),
                Map.of());
        return new EmulatedDestination(1, p.kinds().get(0), 1, new WorldListener() {});
    }

    private static EmulatedDestination.Reply call(EmulatedDestination d, long now) {
        return d.call(now, 0, new WorldListener.ClientRequest("m" + now, 0, 0, 1, 0, S), 1);
    }

    @Test
    void aRateLetsItsCallsPassAndSaysHowLongToWait() throws Exception {
        EmulatedDestination d = destination("per_s = 10\n");
        int passed = 0;
        for (long t = 0; t < 10 * S; t += 10 * MS) {
            EmulatedDestination.Reply r = call(d, t);
            passed += r.status() == Status.DELIVERED ? 1 : 0;
            assertTrue(
                    r.status() == Status.DELIVERED || (r.retryAfterNanos() > 0 && r.retryAfterNanos() <= 150 * MS),
                    r.toString());
        }
        assertEquals(104, passed, 1);
    }

    @Test
    void refusedCallsCountWhereTheyDo() throws Exception {
        EmulatedDestination counts = destination("per_s = 10\nrefused_count = on\n");
        EmulatedDestination not = destination("per_s = 10\n");
        int a = 0;
        int b = 0;
        for (long t = 0; t < 10 * S; t += 10 * MS) {
            a += call(counts, t).status() == Status.DELIVERED ? 1 : 0;
            b += call(not, t).status() == Status.DELIVERED ? 1 : 0;
        }
        assertTrue(a < b / 4, a + " against " + b);
    }

    @Test
    void slotsAndQueuesHold() throws Exception {
        EmulatedDestination d = destination("limit = none\nslots = 2\nqueue = 3\n");
        List<Long> took = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            EmulatedDestination.Reply r = d.call(0, 0, new WorldListener.ClientRequest("m" + i, 0, 0, 1, 0, S), 1);
            took.add(r.status() == Status.DELIVERED ? r.afterNanos() / MS : -1);
        }
        assertEquals(List.of(10L, 10L, 20L, 20L, 30L, -1L), took);
        assertEquals(10, call(d, 40 * MS).afterNanos() / MS);
    }

    /** Cold after its trouble it stands a quarter, and falls when pushed; warmed up it stands all. */
    @Test
    void aColdReturnFallsWhenPushed() throws Exception {
        int[] felled = new int[1];
        Scenario p = ScenarioFile.of(
                "d",
                "[kind k]\nerrors = 0\nper_s = 100\nlimit = none\ncold_ms = 10000\nfall_ms = 1000"
                        .lines()
                        .toList(),
                Map.of());
        EmulatedDestination d = new EmulatedDestination(1, p.kinds().get(0), 1, new WorldListener() {
            @Override
            public void collapsed(long now, long destination) {
                felled[0]++;
            }
        });
        d.addTrouble(0, S, Scenario.Fault.FAIL, 1);
        assertEquals(Progress.NOT_CONNECTED, call(d, 0).progress());
        d.startWarmingUp(S);
        for (long t = S; t < 3 * S; t += 25 * MS) {
            call(d, t);
        }
        assertEquals(0, felled[0], "40 a second is below twice what it stands");
        for (long t = 3 * S; t < 4 * S; t += 4 * MS) {
            call(d, t);
        }
        assertEquals(1, felled[0]);
        assertEquals(Status.ERROR, call(d, 3 * S + 900 * MS).status());
        assertEquals(Status.DELIVERED, call(d, 30 * S).status());
    }

    /** Streams of random numbers are apart: a policy that calls more meets the same arrivals. */
    @Test
    void streamsDoNotShiftEachOther() {
        RandomStreams a = new RandomStreams(1);
        RandomStreams b = new RandomStreams(1);
        a.of("other").nextLong();
        assertEquals(a.of("arrivals").nextLong(), b.of("arrivals").nextLong());
        assertNotEquals(
                new RandomStreams(1).of("x").nextLong(),
                new RandomStreams(1).of("y").nextLong());
        Map<Integer, Integer> counts = new HashMap<>();
        for (int i = 0; i < 10_000; i++) {
            counts.merge((int) (10 * RandomStreams.unit(1, "m" + i, 1, 1)), 1, Integer::sum);
        }
        counts.values().forEach(n -> assertEquals(1_000, n, 150));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "[scenario s]\nseconds = 0|a:2:11: scenario.s.seconds: '0' can't be used, allowed: 0.1 to",
                "[scenario s]|a: no kind of destination",
                "[kind k]\nper_s = many|a:2:9: kind.k.per_s: 'many'",
                "[kind k]\ncolour = red|a:2:10: kind.k.colour: unknown key, allowed: destinations",
                "[kind k]\n[trouble t]\nkind = b|a:3:8: trouble.t.kind: 'b' is no kind, allowed: k",
                "[kind k]\n[trouble t]\nkind = k\nfault = odd|a:4:9: trouble.t.fault: 'odd' can't be used, allowed: fail",
                "[kind k]\ndestinations = 1.5|a:2:16: kind.k.destinations: '1.5' can't be used, allowed: a whole number",
                "[kind k]\ntold = yes|a:2:8: kind.k.told: 'yes'",
                "[kind k]\n[fleet a]\n[fleet b]|a:3: fleet.b: a second fleet",
                "[kind k]\n[clients c]\nmix = 1 2|a:3:7: clients.c.mix: '1 2' can't be used",
                "[kind k]\ndestinations = 60000\n[kind l]\ndestinations = 60000|a: 120000 destinations, allowed: 100000",
                "[kind k]\nper_s = 1\nper_s = 2|a:3:9: kind.k.per_s: told at line 2"
            })
    void faultsOfAScenarioAreTold(String line) {
        String[] part = line.split("\\|");
        SettingsFault f = assertThrows(
                SettingsFault.class, () -> ScenarioFile.of("a", part[0].lines().toList(), Map.of()));
        assertTrue(f.faults().stream().anyMatch(x -> x.startsWith(part[1])), f.faults()::toString);
    }
}
