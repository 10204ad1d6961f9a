package elderseam.rules.cel;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Compiles and evaluates nearly the deepest trees that are allowed on a stack of 256 KiB, which the server's threads have. */
class StackDepthTest {
    private static final long STACK_BYTES = 256 << 10;
    private static final Scope SCOPE =
            new Scope().name("b", Type.Plain.BOOL, ValueSize.ONE).name("x", Type.Plain.DYN, ValueSize.text(8));
    /** Each gives true. */
    private static final List<String> DEEP_EXPRESSIONS = List.of(
            "!".repeat(98) + "b",
            "[".repeat(98) + "1" + "]".repeat(98) + " != x",
            "dyn(".repeat(98) + "1" + ")".repeat(98) + " == 1",
            "(b && ".repeat(97) + "b" + ")".repeat(97),
            "{'a': ".repeat(97) + "1" + "}.a".repeat(97) + " == 1");

    /** What the thread with the small stack did. */
    private static final class Result {
        private int trueValues;
        private Throwable failure;
    }

    @Test
    void deepestTreesFitASmallStack() throws InterruptedException {
        Result result = new Result();
        Thread thread = new Thread(null, () -> evaluateAll(result), "small-stack", STACK_BYTES);
        thread.start();
        thread.join();
        assertNull(result.failure);
        assertEquals(DEEP_EXPRESSIONS.size(), result.trueValues);
    }

    private static void evaluateAll(Result result) {
        try {
            for (String text : DEEP_EXPRESSIONS) {
                Expression expression = Expression.compile(text, SCOPE, Type.Plain.BOOL, 1L << 45)
                        .expression();
                EvaluationInputs inputs = RandomInputs.inputs(SCOPE, Map.of("b", true, "x", 1L));
                result.trueValues += expression.program().boolValue(inputs) ? 1 : 0;
            }
        } catch (Throwable e) { // above all a StackOverflowError
            result.failure = e;
        }
    }
}
