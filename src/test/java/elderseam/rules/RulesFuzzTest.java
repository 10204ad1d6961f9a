package elderseam.rules;

import com.code_intelligence.jazzer.junit.FuzzTest;
import elderseam.core.ActiveRequest;
import elderseam.rules.cel.EvaluationError;
import elderseam.rules.cel.Expression;
import elderseam.rules.cel.Program;
import elderseam.rules.cel.Type;
import elderseam.settings.SettingsFault;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Whatever comes: a fault or a value, within its bound; never an exception, a stall, or another value than the reference's. The seeds
 * beside it are replayed by each build; {@code make fuzz} looks for more.
 */
class RulesFuzzTest {
    private static final RuleLimits SMALL =
            new RuleLimits(java.time.ZoneOffset.UTC, 4_096, 8, 64, 8, 20_000, 1L << 30, 60, 60);

    /** An expression, a zero octet, and the body that it is evaluated on. */
    @FuzzTest(maxDuration = "1m")
    void expressions(byte[] data) {
        String all = new String(data, StandardCharsets.UTF_8);
        int cut = all.indexOf('\0');
        elderseam.rules.cel.Scope scope = RuleVariables.scope(SMALL);
        Expression.Compiled c =
                Expression.compile(cut < 0 ? all : all.substring(0, cut), scope, Type.Plain.DYN, SMALL.budget());
        if (c.expression() == null) {
            c.faults().forEach(f -> f.describe());
            return;
        }
        Program program = c.expression().program();
        SampleRequest sample = SampleRequest.read(
                "POST /rent-payment\nX-Org: a\n\n" + (cut < 0 ? "{}" : all.substring(cut + 1)), new ArrayList<>());
        RuleInput a = new RuleInput(SMALL, scope, List.of("rent-payment"), List.of("a"), new TenantRates(1, 60));
        a.begin(sample, sample, 0, 0);
        a.id = "";
        a.key = "";
        Object v = program.value(a);
        if (a.cost() > c.expression().bound()) {
            throw new AssertionError(c.expression().text() + ": " + a.cost() + " of "
                    + c.expression().bound());
        }
        Expression.Outcome o = c.expression().evaluate(name -> a.value(scope.number(name)));
        if (!v.equals(o.value())
                && !(v instanceof EvaluationError && o.value() instanceof EvaluationError)
                && o.value() != v) {
            throw new AssertionError(c.expression().text() + ": " + v + ", by the reference " + o.value());
        }
    }

    @FuzzTest(maxDuration = "1m")
    void bodies(byte[] data) {
        new JsonFieldExtractor(SMALL, List.of(List.of("a"), List.of("a", "b"), List.of("c", "d", "e"))).read(data);
    }

    @FuzzTest(maxDuration = "1m")
    void files(byte[] data) throws IOException {
        Path file = Files.createTempFile("fuzz", ".rules");
        try {
            Files.write(file, data);
            RuleLoader.Loaded l = RuleLoader.load(List.of(file), SMALL, RuleLoaderTest.NAMES);
            RuleResult r = new RuleResult(false);
            SampleRequest sample = SampleRequest.read("POST /rent-payment\n\n{\"a\": 1}", new ArrayList<>());
            l.book()
                    .decide(
                            new ActiveRequest.Message("m", (byte) 0, 0, 0, 1, 1, 1, false, true, "", new byte[0]),
                            sample,
                            sample,
                            0,
                            0,
                            r);
            if (l.book().scheme() != null
                    && !RuleLoader.scheme(l.book().scheme(), RuleLoaderTest.NAMES)
                            .scheme()
                            .equals(l.book().scheme())) {
                throw new AssertionError(
                        "a scheme that reads otherwise: " + l.book().scheme());
            }
        } catch (SettingsFault e) {
            if (e.faults().isEmpty()) {
                throw new AssertionError("no fault told");
            }
        } finally {
            Files.delete(file);
        }
    }
}
