package elderseam.rules.cel;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Random texts and deeply nested random expressions: nothing is thrown, and no evaluation costs more than its bound. */
class RandomExpressionTest {
    private static final long BUDGET = 1L << 40;
    private static final long MAX_EVALUATED_BOUND = 5_000_000;
    private static final String ALPHABET = "is l w(){}[].,?:+-*/%!<>=&|'\"\\01ue x\n\tr b in true matches all";

    @Property(tries = 2_000, seed = "20261130")
    void costStaysWithinTheBound(@ForAll long seed) {
        Random random = new Random(seed);
        String text = new RandomExpressions(random).next(RandomExpressions.Kind.BOOL, 1 + random.nextInt(5));
        Expression.Compiled compiled = Expression.compile(text, RandomInputs.SCOPE, Type.Plain.BOOL, BUDGET);
        assertCompiledOrTooCostly(text, compiled);
        if (compiled.expression() == null || compiled.expression().bound() > MAX_EVALUATED_BOUND) {
            return;
        }
        long bound = compiled.expression().bound();
        Map<String, Object> values = RandomInputs.values(random);
        Expression.Outcome outcome = compiled.expression().evaluate(values::get);
        assertTrue(outcome.cost() <= bound, () -> text + ": cost " + outcome.cost() + ", bound " + bound);
        Object value = outcome.value();
        assertTrue(value instanceof Boolean || value instanceof EvaluationError, () -> text + ": " + value);
    }

    /** A well-typed expression has no fault, but that it may cost too much. */
    static void assertCompiledOrTooCostly(String text, Expression.Compiled compiled) {
        assertTrue(
                compiled.expression() != null
                        || compiled.faults().get(0).message().contains("may cost"),
                () -> text + "\n" + compiled.faults().get(0).describe());
    }

    @Property(tries = 2_000, seed = "20261130")
    void anyTextGivesAnExpressionOrFaults(@ForAll long seed) {
        Random random = new Random(seed);
        StringBuilder text = new StringBuilder();
        for (int length = random.nextInt(60); length > 0; length--) {
            text.append(ALPHABET.charAt(random.nextInt(ALPHABET.length())));
        }
        Expression.Compiled compiled =
                Expression.compile(text.toString(), RandomInputs.SCOPE, Type.Plain.DYN, 1_000_000);
        assertTrue(compiled.expression() != null || !compiled.faults().isEmpty(), text::toString);
        for (ExpressionFault fault : compiled.faults()) {
            assertTrue(fault.describe().lines().count() >= 2, fault::toString);
            assertTrue(fault.column() >= 1 && fault.line() >= 1, fault::toString);
        }
    }
}
