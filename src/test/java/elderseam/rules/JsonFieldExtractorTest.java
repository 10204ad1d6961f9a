package elderseam.rules;

import static org.junit.jupiter.api.Assertions.assertEquals;

import elderseam.rules.cel.EvaluationError;
import elderseam.rules.cel.NullValue;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class JsonFieldExtractorTest {
    private static final JsonFieldExtractor BODIES = new JsonFieldExtractor(
            RuleLimits.USUAL, List.of(List.of("a"), List.of("b", "c"), List.of("b"), List.of("x", "y")));

    private static List<Object> read(String body) {
        return Arrays.asList(BODIES.read(body.getBytes(StandardCharsets.UTF_8)).clone());
    }

    private static List<Object> all(String words) {
        EvaluationError e = new EvaluationError(words);
        return List.of(e, e, e, e);
    }

    @Test
    void fieldsArePicked() {
        assertEquals(Arrays.asList(1L, null, null, null), read("{\"a\": 1}"));
        assertEquals(
                Arrays.asList("ä\n", 2.5, Map.of("c", 2.5, "d", List.of(true, NullValue.NULL)), null),
                read("{\"z\": [[{}]], \"b\": {\"c\": 2.5, \"d\": [true, null]}, \"a\": \"ä\\n\"}"));
        assertEquals(
                Arrays.asList(NullValue.NULL, null, "text", null),
                read("{\"a\": null, \"b\": \"text\", \"x\": [{\"y\": 1}]}"));
        assertEquals(
                Arrays.asList(9223372036854775807L, null, 0x1p63, 1e3),
                read("{\"a\": 9223372036854775807, \"b\": 9223372036854775808, \"x\": {\"y\": 1e3}}"));
    }

    /** Behind the bar: what is said of each field. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "[1]|a body that is no JSON object",
                "1|a body that is no JSON object",
                "{\"a\": 1|a body that is no JSON object",
                "{\"a\": 1} 2|a body that is no JSON object",
                "{\"a\": 01}|a body that is no JSON object",
                "{a: 1}|a body that is no JSON object",
                "{\"a\": 1, \"q\": 2, \"q\": 3}|a body that tells a name twice in one object",
                "{\"b\": {\"c\": 1, \"c\": 1}}|a body that tells a name twice in one object",
                "{\"q\": [{\"r\": 1, \"r\": 2}]}|a body that tells a name twice in one object"
            })
    void whatCannotBeReadIsAnErrorForEachField(String body, String words) {
        assertEquals(all(words), read(body));
    }

    /** No depth runs out of stack, no length out of memory. */
    @Test
    void boundsHold() {
        assertEquals(all("a body nested above body_depth"), read("{\"q\": " + "[".repeat(30_000)));
        assertEquals(all("a body nested above body_depth"), read("{\"a\": " + "[".repeat(17) + "]".repeat(17) + "}"));
        assertEquals(all("a body above body_bytes"), read("{\"a\": \"" + "x".repeat(70_000) + "\"}"));
        EvaluationError large = new EvaluationError("a field above field_chars or list_items");
        assertEquals(
                Arrays.asList(large, 7L, Map.of("c", 7L), null),
                read("{\"a\": \"" + "x".repeat(1_025) + "\", \"b\": {\"c\": 7}}"));
        assertEquals(Arrays.asList(large, null, null, null), read("{\"a\": [" + "1,".repeat(40) + "1]}"));
        assertEquals(
                Arrays.asList(large, null, null, null),
                read("{\"a\": [" + "[1,2,3],".repeat(9) + "1]}"),
                "in all, not list by list");
        assertEquals(
                Arrays.asList(1L, large, large, null),
                read("{\"b\": {\"c\": \"" + "x".repeat(2_000) + "\"}, \"a\": 1}"));
    }
}
