package elderseam.rules.cel;

import dev.cel.common.types.SimpleType;
import dev.cel.compiler.CelCompiler;
import dev.cel.compiler.CelCompilerFactory;
import dev.cel.runtime.CelRuntimeFactory;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/**
 * What a front end costs a process, which is started for it alone: none, own, the library's parser and checker (front), or all of
 * the library. Tells the time from the start of the JVM to the first value, resident memory and classes loaded.
 */
public final class FrontEnds {
    private static final String TEXT = "tenant == 'erongo' && size > 3 && tenant.startsWith('er')";

    private FrontEnds() {}

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
        long ms = (System.nanoTime() - start) / 1_000_000;
        String resident = Files.readAllLines(Path.of("/proc/self/status")).stream()
                .filter(l -> l.startsWith("VmRSS"))
                .findFirst()
                .orElse("")
                .replaceAll("\\s+", " ");
        System.out.println(args[0] + ": " + value + ", " + ms + " ms, " + resident + ", "
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
                .name("tenant", Type.Plain.STRING, Size.text(64))
                .name("size", Type.Plain.INT, Size.ONE);
        return Expression.compile(TEXT, scope, Type.Plain.BOOL, 10_000)
                .expression()
                .program()
                .truth(new Inputs() {
                    @Override
                    protected Object value(int name) {
                        return name == 0 ? "erongo" : (Object) 4L;
                    }
                });
    }
}
