package elderseam.rules.cel;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Nearly the deepest trees that are let through, asked for and evaluated on a stack of 256 KiB, as serve's threads have. */
class StackDepthTest {
    private static final Scope SCOPE =
            new Scope().name("b", Type.Plain.BOOL, ValueSize.ONE).name("x", Type.Plain.DYN, ValueSize.text(8));
    private static final List<String> DEEP = List.of(
            "!".repeat(98) + "b",
            "[".repeat(98) + "1" + "]".repeat(98) + " != x",
            "dyn(".repeat(98) + "1" + ")".repeat(98) + " == 1",
            "(b && ".repeat(97) + "b" + ")".repeat(97),
            "{'a': ".repeat(97) + "1" + "}.a".repeat(97) + " == 1");

    @Test
    void theDeepestTreesFitASmallStack() throws InterruptedException {
        Throwable[] failed = new Throwable[1];
        int[] done = new int[1];
        Thread t = new Thread(
                null,
                () -> {
                    try {
                        for (String text : DEEP) {
                            Expression e = Expression.compile(text, SCOPE, Type.Plain.BOOL, 1L << 45)
                                    .expression();
                            done[0] += e.program().truth(DifferentialTest.inputs(SCOPE, Map.of("b", true, "x", 1L)))
                                    ? 1
                                    : 0;
                        }
                    } catch (Throwable e) {
                        failed[0] = e;
                    }
                },
                "small",
                256 << 10);
        t.start();
        t.join();
        assertNull(failed[0]);
        assertEquals(DEEP.size(), done[0]);
    }
}
