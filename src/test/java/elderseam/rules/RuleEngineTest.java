package elderseam.rules;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import elderseam.core.ActiveRequest;
import elderseam.core.RequestAttributes;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What is made of a message, and whether it may be taken on, without sockets or a journal. */
class RuleEngineTest {
    private static final long S = 1_000_000_000L;

    /** How the dispatcher stands, as a test has it. */
    private static final class State implements RuleEnvironment {
        final Map<Long, Breaker> breakers = new HashMap<>();
        int held;

        @Override
        public Breaker breaker(long destination) {
            return breakers.getOrDefault(destination, Breaker.CLOSED);
        }

        @Override
        public long waitNs(long destination) {
            return destination * S;
        }

        @Override
        public int inFlight(long destination) {
            return (int) destination;
        }

        @Override
        public int held() {
            return held;
        }

        @Override
        public double share(int tenant) {
            return 2;
        }
    }

    @TempDir
    Path folder;

    private final State state = new State();
    private final List<String> log = new ArrayList<>();
    private final RuleEngine decider = new RuleEngine(List.of(16 * S, 28 * S, 10 * S), 3 * S, 100, state, log::add);

    private Rulebook book(String text) throws IOException {
        return RuleLoader.load(
                        List.of(Files.writeString(folder.resolve("a.rules"), text)),
                        RuleLimits.USUAL,
                        RuleLoaderTest.NAMES)
                .book();
    }

    private static RequestAttributes facts(String body) {
        return SampleRequest.read("POST /status-update\nX-A: 1\n\n" + body, new ArrayList<>());
    }

    private static ActiveRequest.Message message(String body, long now) {
        return new ActiveRequest.Message(
                "id",
                (byte) 0,
                0,
                0,
                5,
                now + 12 * S,
                now + 12 * S,
                false,
                true,
                "",
                body.getBytes(StandardCharsets.UTF_8));
    }

    private ActiveRequest.Message decided(String body, long now) {
        return decider.decide(message(body, now), facts(body), now, 0).message();
    }

    @Test
    void withoutAMatchTheMessageIsTheSame() throws IOException {
        ActiveRequest.Message m = message("x", 0);
        assertSame(m, decider.decide(m, facts("x"), 0, 0).message());
        decider.put(book("[rule a]\nwhen = request.size > 10\nclass = 'job-order'\n"));
        assertSame(m, decider.decide(m, facts("x"), 0, 0).message());
        assertEquals(0, decider.admit(0));
    }

    /** A deadline only shortens, and another class brings its own where that is shorter. */
    @Test
    void deadlinesOnlyShorten() throws IOException {
        decider.put(
                book(
                        "[table t]\nmatch = all\n[rule a]\nwhen = request.size == 1\ndeadline = duration('5s')\n[rule b]\nwhen = request.size == 1\ndeadline = duration('7s')\n"
                                + "[rule c]\nwhen = request.size == 2\ndeadline = duration('50s')\n[rule d]\nwhen = request.size == 3\nclass = 'rent-payment'\n"));
        assertEquals(5 * S, decided("1", 0).deadline(), "the shortest of both");
        assertEquals(12 * S, decided("22", 0).deadline());
        assertEquals(10 * S, decided("333", 0).deadline());
        assertEquals(2, decided("333", 0).classIndex());
    }

    /** All that matches in a table, each with what the tables before made; rules of one table don't see each other. */
    @Test
    void tablesFollowEachOther() throws IOException {
        decider.put(
                book(
                        "[table t]\nmatch = all\n[rule a]\nclass = 'job-order'\n[rule b]\nwhen = message.class == 'job-order'\ndestination = 1\n"
                                + "[table u]\n[rule c]\nwhen = message.class == 'job-order'\ndestination = message.destination + 2\n[rule d]\ndestination = 99\n"));
        assertEquals(7, decided("", 0).destination());
    }

    @Test
    void stateIsSeen() throws IOException {
        decider.put(book(
                "[rule a]\nwhen = state.rate >= 1.0 && state.share == 2.0 && state.in_flight == 5 && state.wait == duration('5s') && state.breaker == 'open'\n"
                        + "destination = 1\n"));
        for (int i = 0; i < 59; i++) {
            assertEquals(5, decided("", i * S).destination());
        }
        state.breakers.put(5L, RuleEnvironment.Breaker.OPEN);
        assertEquals(1, decided("", 59 * S).destination());
    }

    /** What is not urgent is refused while much is held: 0 above a tenth, 4 above half; 5 never. */
    @Test
    void prioritiesGiveWay() throws IOException {
        decider.put(
                book(
                        "[rule a]\nwhen = request.size == 1\npriority = 0\n[rule b]\nwhen = request.size == 2\npriority = 4\n"));
        long[][] waits = {{0, 0, 0}, {S, 0, 0}, {S, S, 0}};
        int[] held = {9, 10, 50};
        for (int i = 0; i < 3; i++) {
            state.held = held[i];
            for (int size = 1; size <= 3; size++) {
                decided("x".repeat(size), 0);
                assertEquals(waits[i][size - 1], decider.admit(0), held[i] + " held, size " + size);
            }
        }
    }

    /** The time to come back is no longer than the settings allow; a refusal charges no limit, nor does one limit what another refuses. */
    @Test
    void refusalsAndLimits() throws IOException {
        decider.put(
                book(
                        "[limit few]\nrate_per_s = 0.1\nburst = 1\n[limit many]\nrate_per_s = 1000\nburst = 2\n[table t]\nmatch = all\n"
                                + "[rule a]\nwhen = request.size == 1\nrefuse = duration('60s')\n[rule b]\nlimit = few\n[rule c]\nlimit = many\n"));
        decided("1", 0);
        assertEquals(3 * S, decider.admit(0));
        decided("22", 0);
        assertEquals(0, decider.admit(0));
        for (int i = 0; i < 5; i++) {
            decided("22", 0);
            assertEquals(3 * S, decider.admit(0), "and 'many' is not charged");
        }
        assertTrue(decider.counts().contains("limit many 1 keys"));
    }

    /** With a key one that may have run is failed, never refused; its end is kept longer; another scheme's key goes along. */
    @Test
    void keys() throws IOException {
        Rulebook first = book("[rule a]\nkey = string(body.n)\n");
        decider.put(first);
        ActiveRequest.Message m = decided("{\"n\": 1}", 0);
        assertTrue(m.deduplicationKey().startsWith(first.scheme().name() + ":") && !m.retriesWithinKeyWindow());
        assertEquals(3_600 * S, m.rememberUntil());
        assertEquals(m.deduplicationKey(), decided("{\"x\": 2, \"n\": 1}", 5).deduplicationKey());
        assertNotEquals(m.deduplicationKey(), decided("{\"n\": 2}", 5).deduplicationKey());
        decider.put(book("[rule a]\nwhen = true\nkey = string(body.n)\n"));
        RuleEngine.Decided d = decider.decide(message("{\"n\": 1}", 0), facts("{\"n\": 1}"), 0, 0);
        assertEquals(List.of(m.deduplicationKey()), d.also());
        assertNotEquals(m.deduplicationKey(), d.message().deduplicationKey());
        decider.put(null);
        assertEquals(2, decider.remembered());
        assertEquals(
                2,
                decider.decide(message("{\"n\": 1}", 0), facts("{\"n\": 1}"), 0, 0)
                        .also()
                        .size());
        decider.forget(Set.of(first.scheme().name()));
        assertEquals(
                List.of(m.deduplicationKey()),
                decider.decide(message("{\"n\": 1}", 0), facts("{\"n\": 1}"), 0, 0)
                        .also());
        decider.put(first);
        assertEquals(0, decider.remembered(), "back in place");
    }

    /** Of errors one word in ten seconds a rule, and five a second in all; a table may refuse instead. */
    @Test
    void errorsAreToldAtABoundedRate() throws IOException {
        StringBuilder rules = new StringBuilder();
        for (int i = 0; i < 9; i++) {
            rules.append("[rule r").append(i).append("]\nwhen = body.n > 1\ndestination = 1\n");
        }
        decider.put(book(rules.toString()));
        for (int i = 0; i < 1_000; i++) {
            assertEquals(5, decided("no json", i).destination());
        }
        assertEquals(5, log.size());
        decided("no json", 2 * S);
        assertEquals(9, log.size());
        decided("no json", 11 * S);
        assertEquals(14, log.size());
        assertTrue(log.get(13).contains("(1002 so far)"), log.get(13));
        decider.put(book("[table t]\non_error = refuse\n[rule a]\nwhen = body.n > 1\ndestination = 1\n"));
        decided("no json", 0);
        assertEquals(S, decider.admit(0));
    }
}
