package elderseam.rules.cel;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.primitives.UnsignedLong;
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
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

/**
 * Three evaluations of the same expression on the same inputs: the compiled form, the reference, and CEL's own library in Java.
 * {@code -Drules.cases=100000}: so many cases instead of 2,000.
 */
class DifferentialTest {
    private static final int CASES = Integer.getInteger("rules.cases", 2_000);
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
    private static final Scope SCOPE = new Scope()
            .name("i", Type.Plain.INT, ValueSize.ONE)
            .name("u", Type.Plain.UINT, ValueSize.ONE)
            .name("d", Type.Plain.DOUBLE, ValueSize.ONE)
            .name("b", Type.Plain.BOOL, ValueSize.ONE)
            .name("s", Type.Plain.STRING, ValueSize.text(40))
            .name("t", Type.Plain.TIMESTAMP, ValueSize.ONE)
            .name("p", Type.Plain.DURATION, ValueSize.ONE)
            .name("l", new Type.ListType(Type.Plain.INT), ValueSize.list(5, ValueSize.ONE))
            .name("w", new Type.ListType(Type.Plain.STRING), ValueSize.list(4, ValueSize.text(20)))
            .name("m", new Type.MapType(Type.Plain.STRING, Type.Plain.INT), ValueSize.list(3, ValueSize.text(1)));

    private static Map<String, Object> values(Random r) {
        Map<String, Object> v = new HashMap<>();
        List<Object> l = new ArrayList<>(), w = new ArrayList<>();
        r.longs(r.nextInt(6), -5, 9).forEach(l::add);
        for (int n = r.nextInt(5); n > 0; n--) {
            w.add("aäb".repeat(r.nextInt(7)));
        }
        v.put("i", (long) r.nextInt(9));
        v.put("u", new elderseam.rules.cel.UnsignedLong(r.nextInt(9)));
        v.put("d", r.nextInt(40) / 8.0);
        v.put("b", r.nextBoolean());
        v.put("s", "abcä".repeat(r.nextInt(11)));
        v.put("t", Instant.ofEpochSecond(1_790_000_000L + r.nextInt(10_000_000)));
        v.put("p", Duration.ofSeconds(r.nextInt(10_000)));
        v.put("l", l);
        v.put("w", w);
        v.put("m", r.nextBoolean() ? Map.of("a", 1L, "b", -2L) : Map.of("b", 5L));
        return v;
    }

    /** The compiled form's inputs, by the scope's numbers. */
    static EvaluationInputs inputs(Scope scope, Map<String, Object> values) {
        Object[] all = new Object[scope.size()];
        values.forEach((name, v) -> all[scope.number(name)] = v);
        return new EvaluationInputs() {
            @Override
            protected Object value(int name) {
                return all[name];
            }
        };
    }

    /** An error of either side: they need not agree in words. */
    private record Failed(String words) {
        @Override
        public boolean equals(Object o) {
            return o instanceof Failed;
        }

        @Override
        public int hashCode() {
            return 1;
        }
    }

    private static Object library(String text, Map<String, Object> values) {
        Map<String, Object> v = new HashMap<>(values);
        v.put("u", UnsignedLong.fromLongBits(((elderseam.rules.cel.UnsignedLong) values.get("u")).bits()));
        try {
            return told(RUNTIME.createProgram(COMPILER.compile(text).getAst()).eval(v));
        } catch (CelEvaluationException e) {
            return new Failed(e.getMessage());
        } catch (CelValidationException e) {
            throw new AssertionError(text + ": " + e.getMessage(), e);
        }
    }

    /** A value as both sides tell it. */
    private static Object told(Object v) {
        return v instanceof EvaluationError e
                ? new Failed(e.words())
                : v instanceof UnsignedLong u
                        ? new elderseam.rules.cel.UnsignedLong(u.longValue())
                        : v instanceof List<?> l
                                ? l.stream().map(DifferentialTest::told).toList()
                                : v;
    }

    @Property(tries = 1, shrinking = ShrinkingMode.OFF, seed = "20261201")
    void allThreeAgree(@ForAll Random seeds) {
        int compared = 0, errors = 0;
        for (int n = 0; n < CASES; n++) {
            long seed = seeds.nextLong();
            Random r = new Random(seed);
            String type = RandomExpressions.TYPES.get(r.nextInt(RandomExpressions.TYPES.size())),
                    text = new RandomExpressions(r).of(type, 1 + r.nextInt(4));
            Expression.Compiled c = Expression.compile(text, SCOPE, Type.Plain.DYN, 1L << 40);
            assertTrue(
                    c.expression() != null || c.faults().get(0).words().contains("may cost"),
                    () -> text + "\n" + c.faults().get(0).shown());
            if (c.expression() == null || c.expression().bound() > 5_000_000) {
                continue;
            }
            Map<String, Object> values = values(r);
            Expression.Outcome o = c.expression().evaluate(values::get);
            EvaluationInputs in = inputs(SCOPE, values);
            Object compiled = c.expression().program().value(in), library = library(text, values);
            assertEquals(o.value(), compiled, () -> text + " on " + values);
            assertTrue(
                    o.cost() <= c.expression().bound()
                            && in.spent() <= c.expression().bound(),
                    () -> text + ": cost " + o.cost() + ", compiled " + in.spent() + ", bound "
                            + c.expression().bound());
            assertEquals(library, told(compiled), () -> text + " on " + values);
            typed(c.expression(), values, o.value());
            compared++;
            errors += o.value() instanceof EvaluationError ? 1 : 0;
        }
        assertTrue(
                compared > CASES * 9 / 10 && errors > CASES / 50 && errors < CASES * 6 / 10,
                compared + " compared, " + errors + " errors");
    }

    /** The plain ways in give what the boxed one does. */
    private static void typed(Expression e, Map<String, Object> values, Object expected) {
        EvaluationInputs in = inputs(SCOPE, values);
        Program p = e.program();
        Object v = e.type() == Type.Plain.BOOL
                ? (Object) p.truth(in)
                : e.type() == Type.Plain.INT
                        ? (Object) p.whole(in)
                        : e.type() == Type.Plain.DOUBLE ? (Object) p.real(in) : expected;
        assertEquals(expected, in.error() != null ? in.error() : v, e::text);
    }
}
