package elderseam.rules;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import elderseam.settings.SettingsFault;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Each kind of fault is reported with its place, and nothing is then loaded. */
class RuleLoaderTest {
    static final KnownNames NAMES =
            KnownNames.of(List.of("status-update", "job-order", "rent-payment"), List.of("erongo", "khomas"));

    @TempDir
    Path folder;

    private RuleLoader.Loaded load(String text) throws IOException {
        Path file = Files.writeString(folder.resolve("a.rules"), text);
        return RuleLoader.load(List.of(file), RuleLimits.DEFAULTS, NAMES);
    }

    private List<String> faults(String text) {
        SettingsFault fault = assertThrows(SettingsFault.class, () -> load(text), text);
        return fault.faults().stream()
                .map(line -> line.replace(folder + "/", ""))
                .toList();
    }

    /** {@code file}: its lines joined by ~; {@code expected}: what one of its faults begins with. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "nonsense|a.rules:1: 'nonsense' is no line of such a file",
                "a = b|a.rules:1: a: before any section",
                "[rule]|a.rules:1: '[rule]' is no section",
                "[rool a]|a.rules:1: '[rool a]' is no section",
                "[rule a]~priority = 1~[rule a]~priority = 1|a.rules:3: rule a stands at line 1 already",
                "[rule a]~wen = true|a.rules:2:7: rule.a.wen: unknown key, allowed: class, deadline",
                "[rule a]~priority = 1~priority = 2|a.rules:3:12: rule.a.priority: told at line 2",
                "[rule a]~when = true|a.rules:1: rule.a: yields nothing",
                "[rule a]~priority = 10|a.rules:2:12: rule.a.priority: '10' can't be used, allowed: 0.0 to 9.0",
                "[rule a]~when = 1 + 'a'~priority = 1|a.rules:2:10: rule.a.when: + of (int, string), expected (int, int)",
                "[rule a]~when = true &&~  1 == 'a'~priority = 1|a.rules:3:5: rule.a.when: == of int and string, expected one type",
                "[rule a]~when = message.size > 1~priority = 1|a.rules:2:8: rule.a.when: no such name 'message', known: request.front",
                "[rule a]~when = body == 1~priority = 1|a.rules:2:8: rule.a.when: all of 'body', expected a field of it",
                "[rule a]~when = request.size~priority = 1|a.rules:2:8: rule.a.when: gives int where bool is expected",
                "[rule a]~class = 'rent'|a.rules:2:9: rule.a.class: 'rent' is no class, allowed: status-update, job-order, rent-payment",
                "[rule a]~class = request.size > 1 ? 'job-order' : 'job'|a.rules:2:9: rule.a.class: 'job' is no class",
                "[rule a]~class = event.type|a.rules:2:9: rule.a.class: may be anything, allowed: a literal",
                "[rule a]~class = 7|a.rules:2:9: rule.a.class: gives int where string",
                "[rule a]~tenant = 'nobody'|a.rules:2:10: rule.a.tenant: 'nobody' is no tenant",
                "[rule a]~destination = -1|a.rules:2:15: rule.a.destination: -1 is no destination",
                "[rule a]~destination = 'x'|a.rules:2:15: rule.a.destination: gives string where int",
                "[rule a]~destination = 1~route = b~[route b]~to = 1|a.rules:3:9: rule.a.route: stands beside destination",
                "[rule a]~deadline = 5|a.rules:2:12: rule.a.deadline: gives int where duration",
                "[rule a]~refuse = duration('soon')|a.rules:2:19: rule.a.refuse: no duration",
                "[rule a]~key = 1|a.rules:2:7: rule.a.key: gives int where string",
                "[rule a]~key = string(now)|a.rules:2:7: rule.a.key: 'now' is another for each copy",
                "[rule a]~key = message.id|a.rules:2:7: rule.a.key: 'message.id' is another",
                "[rule a]~key = string(local.month)|a.rules:2:7: rule.a.key: 'local.month' is another",
                "[rule a]~route = b|a.rules:2:9: rule.a.route: no route 'b'",
                "[rule a]~route = b/c~[route b]~to = 1|a.rules:2:9: rule.a.route: route b has no subset 'c'",
                "[rule a]~limit = b|a.rules:2:9: rule.a.limit: no limit 'b'",
                "[limit b]~burst = 2|a.rules:1: limit.b: rate_per_s is missing",
                "[limit b]~rate_per_s = 0|a.rules:2:14: limit.b.rate_per_s: '0' can't be used",
                "[limit b]~rate_per_s = 1~keys = 1000000|a.rules:3:8: limit.b.keys: '1000000'",
                "[limit b]~rate_per_s = 1~per = 7|a.rules:3:7: limit.b.per: gives int where string",
                "[route b]~by = message.id|a.rules:1: route.b: '' is no member",
                "[route b]~to = 1*0|a.rules:2:6: route.b.to: '1*0' is no member",
                "[route b]~to = 1 1|a.rules:2:6: route.b.to: a destination stands twice",
                "[route b]~to = 1~subset_x = 2|a.rules:3:12: route.b.subset_x: names what is not in 'to'",
                "[route b]~to = 1~fallback = x|a.rules:3:12: route.b.fallback: 'x' is no destination",
                "[route b]~to = 1~header = a b|a.rules:3:10: route.b.header: 'a b' is no name",
                "[route b]~to = 1~canary = 2|a.rules:3:10: route.b.canary: lacks its steps",
                "[route b]~to = 1~canary = 2~canary_steps = 5 1~canary_from = 2026-12-01T00:00:00Z~canary_every = 1H|a.rules:3:10: route.b.canary: allowed: one destination",
                "[table t]~match = some|a.rules:2:9: table.t.match: 'some' can't be used, allowed: all or first",
                "[table t]~on_error = go|a.rules:2:12: table.t.on_error: 'go'",
                "[example e]~request = POST /job-order|a.rules:1: example.e: expects nothing",
                "[example e]~request = job-order~expect_class = none|a.rules:1: example.e: 'job-order' is no first line",
                "[example e]~request = POST /job-order~state = rat=1~expect_class = none|a.rules:1: example.e: 'rat=1' is no state",
                "[example e]~request = POST /job-order~expect_class = rent-payment|a.rules:3:16: example.e.expect_class: expected rent-payment, got job-order",
                "[rule a]~when = request.headers['x'].matches('(a+)+$') && request.path.matches(request.path)~priority = 1|a.rules:2:71: rule.a.when: a pattern that is not constant",
                "[rule a]~when = body.a.all(x, body.a.all(y, body.a.all(z, x == y && y == z)))~priority = 1|a.rules:2:43: rule.a.when: may cost"
            })
    void faultsAreReportedWithTheirPlace(String file, String expected) {
        List<String> faults = faults(file.replace("~", "\n"));
        assertTrue(
                faults.stream().anyMatch(fault -> fault.startsWith(expected)),
                () -> expected + "\nnot in\n" + String.join("\n", faults));
    }

    /** What would overflow the stack or exhaust the memory is a fault like any other. */
    @Test
    void expressionsThatAreTooLargeAreFaults() {
        assertConditionIsFaulty("(".repeat(10_000) + "true" + ")".repeat(10_000));
        assertConditionIsFaulty("!".repeat(10_000) + "true");
        assertConditionIsFaulty("[".repeat(10_000));
        assertConditionIsFaulty("true" + " && true".repeat(10_000));
    }

    private void assertConditionIsFaulty(String condition) {
        String fault = faults("[rule a]\npriority = 1\nwhen = " + condition).get(0);
        assertTrue(fault.contains("rule.a.when: "), fault);
    }

    @Test
    void filesThatAreTooLargeAreFaults() {
        String fault = faults("#" + "x".repeat(10 << 20)).get(0);
        assertTrue(fault.contains("more than 1048576 bytes"), fault);
    }

    @Test
    void rulesThatCostTooMuchTogetherAreAFault() {
        StringBuilder rules = new StringBuilder();
        for (int i = 0; i < 9_000; i++) {
            rules.append("[rule r").append(i).append("]\npriority = 1\n");
            rules.append("when = request.headers['a'].contains('abcdefgh')\n");
        }
        String fault = faults(rules.toString()).get(0);
        assertTrue(fault.startsWith("rules: all of them may cost "), fault);
    }

    @Test
    void allFaultsAreReportedUpToABound() {
        assertEquals(3, faults("[rule a]\nwhen = 1\nclass = 2\nkey = 3\n").size());
        assertEquals(200, faults("x\n".repeat(5_000)).size());
    }

    /** Lines that begin with white space continue a value; quotes, commas and comment signs belong to it. */
    @Test
    void aValueContinuesInFurtherLines() throws IOException {
        RuleLoader.Loaded loaded = load("""
                [rule a]
                when = request.headers['x'] == "#, ;" ||
                  request.size in [1,
                  2]
                # a comment
                class = 'job-order'
                [example yes]
                request = POST /status-update
                header = X: #, ;
                expect_class = job-order
                [example size]
                request = POST /status-update
                body = ab
                expect_class = job-order
                [example no]
                request = POST /status-update
                body = abc
                expect_class = status-update
                """);
        assertEquals(3, loaded.examples().size());
    }

    @Test
    void aFailingExampleIsAFault() {
        assertEquals(
                List.of(
                        "a.rules:5:16: example.e.expect_class: expected rent-payment, got job-order (table rules: rule a matches)",
                        "a.rules:6:19: example.e.expect_priority: expected 3, got 5 (table rules: rule a matches)"),
                faults("""
                        [rule a]
                        class = 'job-order'
                        [example e]
                        request = POST /status-update
                        expect_class = rent-payment
                        expect_priority = 3
                        expect_refuse = none
                        """));
    }

    @Test
    void aKeyWhoseConditionDiffersBetweenDuplicatesCausesAWarning() throws IOException {
        RuleLoader.Loaded loaded = load("[rule a]\nwhen = local.day > 27\nkey = message.key\n");
        assertEquals(1, loaded.warnings().size());
    }

    /** A scheme that is read again gives the same keys, and has the same name. */
    @Test
    void aKeySchemeCanBeReadAgain() throws IOException {
        Rulebook rulebook = load("""
                [limit l]
                rate_per_s = 1
                [route r]
                to = 1 2
                by = message.tenant +
                  'x'
                [table t]
                match = all
                [rule a]
                when = has(body.a) &&
                  body.a > 1
                class = 'job-order'
                limit = l
                [rule b]
                refuse = duration('1s')
                route = r
                [table u]
                [rule c]
                key = message.class + '/' + string(body.a)
                """).rulebook();
        Rulebook readAgain = RuleLoader.readScheme(rulebook.keyScheme().orElseThrow(), NAMES);
        assertEquals(rulebook.keyScheme(), readAgain.keyScheme());
        SampleRequest request = SampleRequest.parse("POST /rent-payment\n\n{\"a\": 5}", new ArrayList<>());
        assertEquals("", key(rulebook, request), "rejected before the second table");
        assertEquals("job-order/5", key(readAgain, request), "a scheme rejects nothing");
    }

    private static String key(Rulebook rulebook, SampleRequest request) {
        RuleResult result = RuleResult.untraced();
        request.decide(rulebook, NAMES, result);
        return result.key;
    }
}
