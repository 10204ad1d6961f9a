package elderseam.rules;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
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
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What rules make of a message, and whether it may be accepted, without sockets or a journal. */
class RuleEngineTest {
    private static final long SECOND_NS = 1_000_000_000L;
    private static final long MAX_RETRY_AFTER_NS = 3 * SECOND_NS;
    private static final int MAX_HELD = 100;

    /** By index of the class: status-update, job-order, rent-payment. */
    private static final List<Long> CLASS_DEADLINES_NS = List.of(16 * SECOND_NS, 28 * SECOND_NS, 10 * SECOND_NS);

    /** Destination of each message; a status-update with a deadline of twelve seconds. */
    private static final long DESTINATION = 5;

    private static final long DEADLINE_NS = 12 * SECOND_NS;

    /** A dispatcher whose state follows from the destination's number, but for what a test sets. */
    private static final class FakeEnvironment implements RuleEnvironment {
        final Map<Long, Breaker> breakers = new HashMap<>();
        int requestsHeld;

        @Override
        public Breaker breaker(long destination) {
            return breakers.getOrDefault(destination, Breaker.CLOSED);
        }

        @Override
        public long retryAfterNs(long destination) {
            return destination * SECOND_NS;
        }

        @Override
        public int attemptsInFlight(long destination) {
            return (int) destination;
        }

        @Override
        public int requestsHeld() {
            return requestsHeld;
        }

        @Override
        public double tenantQuota(int tenantIndex) {
            return 2;
        }
    }

    @TempDir
    Path folder;

    private final FakeEnvironment environment = new FakeEnvironment();
    private final List<String> log = new ArrayList<>();
    private final RuleEngine engine =
            new RuleEngine(CLASS_DEADLINES_NS, MAX_RETRY_AFTER_NS, MAX_HELD, environment, this::logError);

    private void logError(String rule, String error, long errorCount) {
        log.add(rule + ": " + error + " (" + errorCount + " so far)");
    }

    private Rulebook rulebook(String text) throws IOException {
        Path file = Files.writeString(folder.resolve("a.rules"), text);
        return RuleLoader.load(List.of(file), RuleLimits.DEFAULTS, RuleLoaderTest.NAMES)
                .rulebook();
    }

    private void activate(String text) throws IOException {
        engine.activate(Optional.of(rulebook(text)));
    }

    private static RequestAttributes attributes(String body) {
        return SampleRequest.parse("POST /status-update\nX-A: 1\n\n" + body, new ArrayList<>());
    }

    private static ActiveRequest.Message message(String body, long nowNs) {
        return new ActiveRequest.Message(
                "id",
                (byte) 0,
                0,
                0,
                DESTINATION,
                nowNs + DEADLINE_NS,
                nowNs + DEADLINE_NS,
                false,
                true,
                "",
                body.getBytes(StandardCharsets.UTF_8));
    }

    private RuleEngine.Routed decide(ActiveRequest.Message message, String body, long nowNs) {
        return (RuleEngine.Routed) engine.decide(message, attributes(body), nowNs, 0);
    }

    private RuleEngine.Routed decide(String body, long nowNs) {
        return decide(message(body, nowNs), body, nowNs);
    }

    /** The message as the rules change it. */
    private ActiveRequest.Message changed(String body, long nowNs) {
        return decide(body, nowNs).message();
    }

    @Test
    void withoutAMatchTheMessageIsTheSame() throws IOException {
        ActiveRequest.Message message = message("x", 0);
        assertSame(message, decide(message, "x", 0).message());
        activate("[rule a]\nwhen = request.size > 10\nclass = 'job-order'\n");
        assertSame(message, decide(message, "x", 0).message());
        assertEquals(0, engine.admit(0));
    }

    @Test
    void aMessageWithoutClassOrDestinationIsIncompleteUnlessARuleGivesIt() throws IOException {
        ActiveRequest.Message unplaced = new ActiveRequest.Message(
                "id", (byte) 0, -1, 0, -1, DEADLINE_NS, DEADLINE_NS, false, true, "", new byte[0]);
        assertEquals(
                new RuleEngine.Incomplete("the type is no class of message, and no rule gives one"),
                engine.decide(unplaced, attributes(""), 0, 0));
        activate("[rule a]\nclass = 'job-order'\n");
        assertEquals(
                new RuleEngine.Incomplete("destination is missing, and no rule gives one"),
                engine.decide(unplaced, attributes(""), 0, 0));
        activate("[rule a]\nclass = 'job-order'\ndestination = 3\n");
        assertEquals(3, decide(unplaced, "", 0).message().destination());
    }

    /** A rule only shortens a deadline, and so does another class. */
    @Test
    void deadlinesOnlyShorten() throws IOException {
        activate("""
                [table t]
                match = all
                [rule a]
                when = request.size == 1
                deadline = duration('5s')
                [rule b]
                when = request.size == 1
                deadline = duration('7s')
                [rule c]
                when = request.size == 2
                deadline = duration('50s')
                [rule d]
                when = request.size == 3
                class = 'rent-payment'
                """);
        assertEquals(5 * SECOND_NS, changed("1", 0).deadline(), "the shorter of both");
        assertEquals(DEADLINE_NS, changed("22", 0).deadline());
        assertEquals(10 * SECOND_NS, changed("333", 0).deadline());
        assertEquals(2, changed("333", 0).classIndex());
    }

    /** A table sees what the tables before it made of the message; its rules don't see each other's results. */
    @Test
    void tablesAreAppliedOneAfterAnother() throws IOException {
        activate("""
                [table t]
                match = all
                [rule a]
                class = 'job-order'
                [rule b]
                when = message.class == 'job-order'
                destination = 1
                [table u]
                [rule c]
                when = message.class == 'job-order'
                destination = message.destination + 2
                [rule d]
                destination = 99
                """);
        assertEquals(DESTINATION + 2, changed("", 0).destination());
    }

    @Test
    void rulesSeeTheStateOfTheDispatcher() throws IOException {
        activate("""
                [rule a]
                when = state.rate >= 1.0 && state.share == 2.0 && state.in_flight == 5
                  && state.wait == duration('5s') && state.breaker == 'open'
                destination = 1
                """);
        for (int second = 0; second < 59; second++) {
            assertEquals(DESTINATION, changed("", second * SECOND_NS).destination());
        }
        environment.breakers.put(DESTINATION, RuleEnvironment.Breaker.OPEN);
        assertEquals(1, changed("", 59 * SECOND_NS).destination());
    }

    /** Priority 0 is rejected from a tenth of the capacity on, 4 from half of it on, and the default never. */
    @Test
    void lowPrioritiesAreRejectedWhileMuchIsHeld() throws IOException {
        activate("""
                [rule a]
                when = request.size == 1
                priority = 0
                [rule b]
                when = request.size == 2
                priority = 4
                """);
        assertRetryAfter(9, 0, 0, 0);
        assertRetryAfter(10, SECOND_NS, 0, 0);
        assertRetryAfter(50, SECOND_NS, SECOND_NS, 0);
    }

    /** {@code retryAfterNs}: of messages of one, two and three octets. */
    private void assertRetryAfter(int requestsHeld, long... retryAfterNs) {
        environment.requestsHeld = requestsHeld;
        for (int size = 1; size <= retryAfterNs.length; size++) {
            decide("x".repeat(size), 0);
            assertEquals(retryAfterNs[size - 1], engine.admit(0), requestsHeld + " held, size " + size);
        }
    }

    /** A Retry-After is bounded; a rejection charges no limit, and neither does a limit while another is exhausted. */
    @Test
    void rejectedMessagesChargeNoLimit() throws IOException {
        activate("""
                [limit few]
                rate_per_s = 0.1
                burst = 1
                [limit many]
                rate_per_s = 1000
                burst = 2
                [table t]
                match = all
                [rule a]
                when = request.size == 1
                refuse = duration('60s')
                [rule b]
                limit = few
                [rule c]
                limit = many
                """);
        decide("1", 0);
        assertEquals(MAX_RETRY_AFTER_NS, engine.admit(0));
        decide("22", 0);
        assertEquals(0, engine.admit(0));
        for (int i = 0; i < 5; i++) {
            decide("22", 0);
            assertEquals(MAX_RETRY_AFTER_NS, engine.admit(0), "and 'many' is not charged");
        }
        assertTrue(engine.statistics().contains("limit many 1 keys"));
    }

    /** With a key, a message that may have run fails instead of being rejected; its outcome is remembered longer. */
    @Test
    void aMessageWithAKeyIsRememberedAndFails() throws IOException {
        Rulebook rules = rulebook("[rule a]\nkey = string(body.n)\n");
        engine.activate(Optional.of(rules));
        ActiveRequest.Message message = changed("{\"n\": 1}", 0);
        String schemeName = rules.keyScheme().orElseThrow().name();
        assertTrue(message.deduplicationKey().startsWith(schemeName + ":"));
        assertFalse(message.retriesWithinKeyWindow());
        assertEquals(3_600 * SECOND_NS, message.rememberUntil());
        assertEquals(
                message.deduplicationKey(), changed("{\"x\": 2, \"n\": 1}", 5).deduplicationKey());
        assertNotEquals(message.deduplicationKey(), changed("{\"n\": 2}", 5).deduplicationKey());
    }

    @Test
    void keysOfEarlierRulesAreComputedTooWhileTheyAreRemembered() throws IOException {
        String body = "{\"n\": 1}";
        Rulebook first = rulebook("[rule a]\nkey = string(body.n)\n");
        engine.activate(Optional.of(first));
        String firstKey = changed(body, 0).deduplicationKey();

        activate("[rule a]\nwhen = true\nkey = string(body.n)\n");
        RuleEngine.Routed underSecondRules = decide(body, 0);
        assertEquals(List.of(firstKey), underSecondRules.alternateKeys());
        assertNotEquals(firstKey, underSecondRules.message().deduplicationKey());

        engine.activate(Optional.empty());
        assertEquals(2, engine.earlierSchemeCount());
        assertEquals(2, decide(body, 0).alternateKeys().size());

        engine.retainSchemes(Set.of(first.keyScheme().orElseThrow().name()));
        assertEquals(List.of(firstKey), decide(body, 0).alternateKeys());

        engine.activate(Optional.of(first));
        assertEquals(0, engine.earlierSchemeCount(), "the first rules are back in force");
    }

    /** Each rule's errors are logged once in ten seconds, and five lines a second in total. */
    @Test
    void errorsAreLoggedAtABoundedRate() throws IOException {
        StringBuilder rules = new StringBuilder();
        for (int i = 0; i < 9; i++) {
            rules.append("[rule r").append(i).append("]\nwhen = body.n > 1\ndestination = 1\n");
        }
        activate(rules.toString());
        for (int nowNs = 0; nowNs < 1_000; nowNs++) {
            assertEquals(DESTINATION, changed("no json", nowNs).destination());
        }
        assertEquals(5, log.size());
        decide("no json", 2 * SECOND_NS);
        assertEquals(9, log.size());
        decide("no json", 11 * SECOND_NS);
        assertEquals(14, log.size());
        assertTrue(log.get(13).contains("(1002 so far)"), log.get(13));
    }

    @Test
    void aTableMayRejectAMessageOnAnError() throws IOException {
        activate("[table t]\non_error = refuse\n[rule a]\nwhen = body.n > 1\ndestination = 1\n");
        decide("no json", 0);
        assertEquals(SECOND_NS, engine.admit(0));
    }
}
