package elderseam.rules.cel;

import dev.cel.common.CelOptions;
import dev.cel.common.CelValidationException;
import dev.cel.common.types.MapType;
import dev.cel.common.types.SimpleType;
import dev.cel.compiler.CelCompilerFactory;
import dev.cel.runtime.CelEvaluationException;
import dev.cel.runtime.CelRuntime;
import dev.cel.runtime.CelRuntimeFactory;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * One expression four ways: compiled to steps, by the reference's walk, by CEL's own library, and as plain Java written by hand, which is
 * the most that bytecode made for it could reach.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(
        value = 1,
        jvmArgsAppend = {"-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx256m"})
public class ExpressionBench {
    private static final String WHEN =
            "tenant == 'erongo' && headers['x-kind'].startsWith('rent') && destination > 3 && size < 4096 && rate > 3.0 * share";
    private static final String KEY = "tenant + '/' + lease + '/' + month";

    @Param({"when", "key"})
    public String what;

    private final Map<String, Object> values = Map.of(
            "tenant",
            "erongo",
            "headers",
            Map.of("x-kind", "rent-invoice"),
            "destination",
            17L,
            "size",
            300L,
            "rate",
            10.0,
            "share",
            2.0,
            "lease",
            "L-2041",
            "month",
            "2026-12");
    private Expression expression;
    private Program program;
    private Inputs inputs;
    private CelRuntime.Program library;

    @Setup
    public void set() throws CelValidationException, CelEvaluationException {
        elderseam.rules.cel.Scope scope = new elderseam.rules.cel.Scope()
                .name("tenant", Type.Plain.STRING, Size.text(64))
                .name(
                        "headers",
                        new Type.MapType(Type.Plain.STRING, Type.Plain.STRING),
                        Size.list(64, Size.text(1_024)))
                .name("destination", Type.Plain.INT, Size.ONE)
                .name("size", Type.Plain.INT, Size.ONE)
                .name("rate", Type.Plain.DOUBLE, Size.ONE)
                .name("share", Type.Plain.DOUBLE, Size.ONE)
                .name("lease", Type.Plain.STRING, Size.text(64))
                .name("month", Type.Plain.STRING, Size.text(64));
        String text = what.equals("when") ? WHEN : KEY;
        expression = Expression.compile(text, scope, Type.Plain.DYN, 100_000).expression();
        program = expression.program();
        Object[] all = new Object[scope.size()];
        values.forEach((n, v) -> all[scope.number(n)] = v);
        inputs = new Inputs() {
            @Override
            protected Object value(int name) {
                return all[name];
            }

            @Override
            protected long whole(int name) {
                return (Long) all[name];
            }

            @Override
            protected double real(int name) {
                return (Double) all[name];
            }
        };
        CelOptions options =
                CelOptions.current().enableHeterogeneousNumericComparisons(true).build();
        library = CelRuntimeFactory.standardCelRuntimeBuilder()
                .setOptions(options)
                .build()
                .createProgram(CelCompilerFactory.standardCelCompilerBuilder()
                        .setOptions(options)
                        .addVar("tenant", SimpleType.STRING)
                        .addVar("headers", MapType.create(SimpleType.STRING, SimpleType.STRING))
                        .addVar("destination", SimpleType.INT)
                        .addVar("size", SimpleType.INT)
                        .addVar("rate", SimpleType.DOUBLE)
                        .addVar("share", SimpleType.DOUBLE)
                        .addVar("lease", SimpleType.STRING)
                        .addVar("month", SimpleType.STRING)
                        .build()
                        .compile(text)
                        .getAst());
    }

    @Benchmark
    public Object compiled() {
        return what.equals("when") ? (Object) program.truth(inputs) : program.value(inputs);
    }

    @Benchmark
    public Object reference() {
        return expression.evaluate(values::get).value();
    }

    @Benchmark
    public Object library() throws CelEvaluationException {
        return library.eval(values);
    }

    @Benchmark
    @SuppressWarnings("unchecked")
    public Object byHand() {
        String tenant = (String) values.get("tenant");
        if (what.equals("key")) {
            return tenant.concat("/")
                    .concat((String) values.get("lease"))
                    .concat("/")
                    .concat((String) values.get("month"));
        }
        return tenant.equals("erongo")
                && ((Map<String, String>) values.get("headers")).get("x-kind").startsWith("rent")
                && (Long) values.get("destination") > 3
                && (Long) values.get("size") < 4096
                && (Double) values.get("rate") > 3.0 * (Double) values.get("share");
    }
}
