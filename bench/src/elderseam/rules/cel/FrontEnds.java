package elderseam.rules.cel;

import dev.cel.common.types.SimpleType;
import dev.cel.compiler.CelCompiler;
import dev.cel.compiler.CelCompilerFactory;
import dev.cel.runtime.CelRuntimeFactory;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Measures what compiling and evaluating one expression costs a process that does nothing else. The argument says by what: {@code none},
 * {@code own}, {@code front} (parser and type checker of CEL's authors) or {@code library} (all of theirs). Prints the time to the first
 * value, the resident memory and the number of loaded classes.
 */
public final class FrontEnds {
    private static final String TEXT = "tenant == 'erongo' && size > 3 && tenant.startsWith('er')";

    private FrontEnds() {}

    /** Measures once, by what {@code args[0]} says. */
    public static void main(String[] args) throws Exception {
        long start = System.nanoTime();
        Object value = switch (args[0]) {
            case "own" -> own();
            case "front" -> compiler().compile(TEXT).getAst().getResultType();
            case "library" ->
                CelRuntimeFactory.standardCelRuntimeBuilder()
                        .build()
                        .createProgram(compiler().compile(TEXT).getAst())
                        .eval(Map.of("tenant", "erongo", "size", 4L));
            default -> "none";
        };
        long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
        String resident = Files.readAllLines(Path.of("/proc/self/status")).stream()
                .filter(line -> line.startsWith("VmRSS"))
                .findFirst()
                .orElse("")
                .replaceAll("\\s+", " ");
        System.out.println(args[0] + ": " + value + ", " + elapsedMs + " ms, " + resident + ", "
                + ManagementFactory.getClassLoadingMXBean().getTotalLoadedClassCount() + " classes");
    }

    private static CelCompiler compiler() {
        return CelCompilerFactory.standardCelCompilerBuilder()
                .addVar("tenant", SimpleType.STRING)
                .addVar("size", SimpleType.INT)
                .build();
    }

    private static Object own() {
        elderseam.rules.cel.Scope scope = new elderseam.rules.cel.Scope()
                .name("tenant", Type.Plain.STRING, ValueSize.text(64))
                .name("size", Type.Plain.INT, ValueSize.ONE);
        return Expression.compile(TEXT, scope, Type.Plain.BOOL, 10_000)
                .expression()
                .program()
                .boolValue(new EvaluationInputs() {
                    @Override
                    protected Object value(int name) {
                        return name == 0 ? "erongo" : (Object) 4L;
                    }
                });
    }
}
