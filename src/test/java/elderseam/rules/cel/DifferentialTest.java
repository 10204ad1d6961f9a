package elderseam.rules.cel;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.cel.common.CelOptions;
import dev.cel.common.CelValidationException;
import dev.cel.common.types.ListType;
import dev.cel.common.types.MapType;
import dev.cel.common.types.SimpleType;
import dev.cel.compiler.CelCompiler;
import dev.cel.compiler.CelCompilerFactory;
import dev.cel.parser.CelStandardMacro;
import dev.cel.runtime.CelEvaluationException;
import dev.cel.runtime.CelRuntime;
import dev.cel.runtime.CelRuntimeFactory;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

/**
 * Compares three evaluations of the same expression on the same inputs: the compiled program, the reference implementation, and the
 * library of CEL's authors ({@code dev.cel}). {@code -Drules.cases=100000} compares so many cases instead of 2,000.
 */
class DifferentialTest {
    private static final int CASES = Integer.getInteger("rules.cases", 2_000);
    private static final long BUDGET = 1L << 40;
    /** Expressions that may cost more are left out, for the time they might take. */
    private static final long MAX_EVALUATED_BOUND = 5_000_000;

    private static final CelOptions OPTIONS =
            CelOptions.current().enableHeterogeneousNumericComparisons(true).build();
    private static final CelCompiler COMPILER = CelCompilerFactory.standardCelCompilerBuilder()
            .setOptions(OPTIONS)
            .setStandardMacros(CelStandardMacro.STANDARD_MACROS)
            .addVar("i", SimpleType.INT)
            .addVar("u", SimpleType.UINT)
            .addVar("d", SimpleType.DOUBLE)
            .addVar("b", SimpleType.BOOL)
            .addVar("s", SimpleType.STRING)
            .addVar("t", SimpleType.TIMESTAMP)
            .addVar("p", SimpleType.DURATION)
            .addVar("l", ListType.create(SimpleType.INT))
            .addVar("w", ListType.create(SimpleType.STRING))
            .addVar("m", MapType.create(SimpleType.STRING, SimpleType.INT))
            .build();
    private static final CelRuntime RUNTIME =
            CelRuntimeFactory.legacyCelRuntimeBuilder().setOptions(OPTIONS).build();

    /** An error of either implementation. All are equal: the implementations need not agree in their messages. */
    private record Failure(String message) {
        @Override
        public boolean equals(Object other) {
            return other instanceof Failure;
        }

        @Override
        public int hashCode() {
            return 1;
        }
    }

    private static Object evaluateByLibrary(String text, Map<String, Object> values) {
        Map<String, Object> libraryValues = new HashMap<>(values);
        UnsignedLong unsigned = (UnsignedLong) values.get("u");
        libraryValues.put("u", com.google.common.primitives.UnsignedLong.fromLongBits(unsigned.bits()));
        try {
            return comparable(
                    RUNTIME.createProgram(COMPILER.compile(text).getAst()).eval(libraryValues));
        } catch (CelEvaluationException e) {
            return new Failure(e.getMessage());
        } catch (CelValidationException e) {
            throw new AssertionError(text + ": " + e.getMessage(), e);
        }
    }

    /** A value of either implementation, in the form in which they are compared. */
    private static Object comparable(Object value) {
        if (value instanceof EvaluationError error) {
            return new Failure(error.message());
        }
        if (value instanceof com.google.common.primitives.UnsignedLong unsigned) {
            return new UnsignedLong(unsigned.longValue());
        }
        return value instanceof List<?> list
                ? list.stream().map(DifferentialTest::comparable).toList()
                : value;
    }

    @Property(tries = 1, shrinking = ShrinkingMode.OFF, seed = "20261201")
    void implementationsAgree(@ForAll Random seeds) {
        int compared = 0;
        int errors = 0;
        for (int i = 0; i < CASES; i++) {
            Random random = new Random(seeds.nextLong());
            String text = new RandomExpressions(random).nextOfAnyKind(4);
            Expression.Compiled compiled = Expression.compile(text, RandomInputs.SCOPE, Type.Plain.DYN, BUDGET);
            RandomExpressionTest.assertCompiledOrTooCostly(text, compiled);
            if (compiled.expression() != null && compiled.expression().bound() <= MAX_EVALUATED_BOUND) {
                Object value = assertAgreement(compiled.expression(), RandomInputs.values(random));
                compared++;
                errors += value instanceof EvaluationError ? 1 : 0;
            }
        }
        assertTrue(
                compared > CASES * 9 / 10 && errors > CASES / 50 && errors < CASES * 6 / 10,
                compared + " compared, " + errors + " errors");
    }

    /** Evaluates in each way, compares, and returns the value. */
    private static Object assertAgreement(Expression expression, Map<String, Object> values) {
        String text = expression.text();
        Expression.Outcome reference = expression.evaluate(values::get);
        EvaluationInputs inputs = RandomInputs.inputs(RandomInputs.SCOPE, values);
        Object compiled = expression.program().value(inputs);
        Object library = evaluateByLibrary(text, values);
        assertEquals(reference.value(), compiled, () -> text + " on " + values);
        assertTrue(
                reference.cost() <= expression.bound() && inputs.cost() <= expression.bound(),
                () -> text + ": cost " + reference.cost() + ", compiled " + inputs.cost() + ", bound "
                        + expression.bound());
        assertEquals(library, comparable(compiled), () -> text + " on " + values);
        assertUnboxedAgreement(expression, values, reference.value());
        return reference.value();
    }

    /** The evaluations that give unboxed values agree with the one that gives boxed ones. */
    private static void assertUnboxedAgreement(Expression expression, Map<String, Object> values, Object expected) {
        EvaluationInputs inputs = RandomInputs.inputs(RandomInputs.SCOPE, values);
        Program program = expression.program();
        Object value = expected;
        if (expression.type() == Type.Plain.BOOL) {
            value = program.boolValue(inputs);
        } else if (expression.type() == Type.Plain.INT) {
            value = program.intValue(inputs);
        } else if (expression.type() == Type.Plain.DOUBLE) {
            value = program.doubleValue(inputs);
        }
        assertEquals(expected, inputs.error() != null ? inputs.error() : value, expression::text);
    }
}
