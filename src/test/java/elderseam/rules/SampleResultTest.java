package elderseam.rules;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What {@code rules eval} prints. */
class SampleResultTest {
    @TempDir
    Path folder;

    private SampleResult result(String rules, String body) throws IOException {
        Path file = Files.writeString(folder.resolve("a.rules"), rules);
        RuleLoader.Loaded loaded = RuleLoader.load(List.of(file), RuleLimits.DEFAULTS, RuleLoaderTest.NAMES);
        SampleRequest request = SampleRequest.parse("POST /rent-payment\n\n" + body, new ArrayList<>());
        return SampleResult.of(loaded.rulebook(), RuleLoaderTest.NAMES, request);
    }

    private static String text(SampleResult result) {
        return result.values().entrySet().stream()
                .map(entry -> entry.getKey().label() + "=" + entry.getValue())
                .collect(Collectors.joining(" "));
    }

    @Test
    void fieldsAreInTheirOrderAndNoneWhereNotSet() throws IOException {
        assertEquals(
                "class=rent-payment tenant=none destination=0 key=none deadline=none priority=5 refuse=none limits=none",
                text(result("", "")));
        SampleResult all = result("""
                [limit each]
                per = message.class
                rate_per_s = 1
                [route bank]
                to = 7
                [table t]
                match = all
                [rule a]
                class = 'job-order'
                tenant = 'khomas'
                key = 'k'
                deadline = duration('4.5s')
                priority = 2
                route = bank
                limit = each
                [rule b]
                limit = each
                refuse = duration('2s')
                """, "");
        assertEquals(
                "class=job-order tenant=khomas destination=7 key=k deadline=4.5s priority=2 refuse=2s"
                        + " limits=each(rent-payment) each(rent-payment)",
                text(all));
        assertEquals(List.of("table t: rule a matches", "table t: rule b matches"), all.trace());
    }

    /** A result that can't be used is an error of its rule, which then sets nothing. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "tenant = body.text|no such tenant",
                "tenant = body.absent|no value for a name",
                "destination = body.number - 7|no destination: -4",
                "key = body.empty|a key of 0 characters, allowed: 1 to 512",
                "deadline = duration('-1s')|a deadline below 0",
                "refuse = duration('-1s')|a time below 0"
            })
    void resultsThatCanNotBeUsedAreErrors(String action, String expectedError) throws IOException {
        SampleResult result =
                result("[rule a]\nclass = 'job-order'\n" + action, "{\"text\": \"x\", \"number\": 3, \"empty\": \"\"}");
        assertEquals(
                List.of("table rules: rule a: error: " + expectedError + ", as if it did not match"), result.trace());
        assertEquals("rent-payment", result.values().get(ResultField.CLASS));
    }
}
