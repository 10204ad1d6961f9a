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
    private static final EvaluationError FIELD_TOO_LARGE =
            new EvaluationError("a field above field_chars or list_items");

    /** Extracts a, b.c, b and x.y. */
    private static final JsonFieldExtractor EXTRACTOR = new JsonFieldExtractor(
            RuleLimits.DEFAULTS, List.of(List.of("a"), List.of("b", "c"), List.of("b"), List.of("x", "y")));

    private static List<Object> extract(String body) {
        return Arrays.asList(
                EXTRACTOR.extract(body.getBytes(StandardCharsets.UTF_8)).clone());
    }

    private static List<Object> errorForEachField(String text) {
        EvaluationError error = new EvaluationError(text);
        return List.of(error, error, error, error);
    }

    @Test
    void fieldsAreExtracted() {
        assertEquals(Arrays.asList(1L, null, null, null), extract("{\"a\": 1}"));
        assertEquals(
                Arrays.asList("ä\n", 2.5, Map.of("c", 2.5, "d", List.of(true, NullValue.NULL)), null),
                extract("{\"z\": [[{}]], \"b\": {\"c\": 2.5, \"d\": [true, null]}, \"a\": \"ä\\n\"}"));
        assertEquals(
                Arrays.asList(NullValue.NULL, null, "text", null),
                extract("{\"a\": null, \"b\": \"text\", \"x\": [{\"y\": 1}]}"));
        assertEquals(
                Arrays.asList(9223372036854775807L, null, 0x1p63, 1e3),
                extract("{\"a\": 9223372036854775807, \"b\": 9223372036854775808, \"x\": {\"y\": 1e3}}"));
    }

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
    void aFaultyBodyIsAnErrorForEachField(String body, String expectedError) {
        assertEquals(errorForEachField(expectedError), extract(body));
    }

    /** No depth overflows the stack, and no length exhausts the memory. */
    @Test
    void aBodyAboveItsBoundsIsAnErrorForEachField() {
        assertEquals(errorForEachField("a body nested above body_depth"), extract("{\"q\": " + "[".repeat(30_000)));
        assertEquals(
                errorForEachField("a body nested above body_depth"),
                extract("{\"a\": " + "[".repeat(17) + "]".repeat(17) + "}"));
        assertEquals(errorForEachField("a body above body_bytes"), extract("{\"a\": \"" + "x".repeat(70_000) + "\"}"));
    }

    @Test
    void aFieldAboveItsBoundsIsAnErrorForThatField() {
        assertEquals(
                Arrays.asList(FIELD_TOO_LARGE, 7L, Map.of("c", 7L), null),
                extract("{\"a\": \"" + "x".repeat(1_025) + "\", \"b\": {\"c\": 7}}"));
        assertEquals(Arrays.asList(FIELD_TOO_LARGE, null, null, null), extract("{\"a\": [" + "1,".repeat(40) + "1]}"));
        assertEquals(
                Arrays.asList(FIELD_TOO_LARGE, null, null, null),
                extract("{\"a\": [" + "[1,2,3],".repeat(9) + "1]}"),
                "items of all lists of a field count together");
        assertEquals(
                Arrays.asList(1L, FIELD_TOO_LARGE, FIELD_TOO_LARGE, null),
                extract("{\"b\": {\"c\": \"" + "x".repeat(2_000) + "\"}, \"a\": 1}"));
    }
}
