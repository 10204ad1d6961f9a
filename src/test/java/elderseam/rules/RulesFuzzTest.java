package elderseam.rules;

import com.code_intelligence.jazzer.junit.FuzzTest;
import elderseam.core.ActiveRequest;
import elderseam.rules.cel.EvaluationError;
import elderseam.rules.cel.Expression;
import elderseam.rules.cel.ExpressionFault;
import elderseam.rules.cel.Program;
import elderseam.rules.cel.Scope;
import elderseam.rules.cel.Type;
import elderseam.settings.SettingsFault;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Any input ends in a fault or a value, within its bound: never in an exception, a stall, or another value than the
 * reference evaluator's. Each build replays the seeds in this test's resources; {@code make fuzz} searches for more.
 */
class RulesFuzzTest {
    private static final RuleLimits SMALL_LIMITS =
            new RuleLimits(ZoneOffset.UTC, 4_096, 8, 64, 8, 20_000, 1L << 30, 60, 60);

    /** The input is an expression, a zero octet, and the body on which it is evaluated. */
    @FuzzTest(maxDuration = "1m")
    void expressions(byte[] data) {
        String text = new String(data, StandardCharsets.UTF_8);
        int separator = text.indexOf('\0');
        String expressionText = separator < 0 ? text : text.substring(0, separator);
        String body = separator < 0 ? "{}" : text.substring(separator + 1);
        Scope scope = RuleVariables.scope(SMALL_LIMITS);
        Expression.Compiled compiled =
                Expression.compile(expressionText, scope, Type.Plain.DYN, SMALL_LIMITS.expressionBudget());
        Expression expression = compiled.expression();
        if (expression == null) {
            compiled.faults().forEach(ExpressionFault::describe);
            return;
        }
        Program program = expression.program();
        RuleInput input = input(scope, body);
        Object value = program.value(input);
        if (input.cost() > expression.bound()) {
            throw new AssertionError(expression.text() + ": " + input.cost() + " of " + expression.bound());
        }
        Object reference =
                expression.evaluate(name -> input.value(scope.number(name))).value();
        boolean bothErrors = value instanceof EvaluationError && reference instanceof EvaluationError;
        if (!value.equals(reference) && !bothErrors && reference != value) {
            throw new AssertionError(expression.text() + ": " + value + ", by the reference " + reference);
        }
    }

    /** The values for a message of the indexes 0, without ids or deadline. */
    private static RuleInput input(Scope scope, String body) {
        KnownNames names = KnownNames.of(List.of("rent-payment"), List.of("a"));
        RuleInput input = new RuleInput(SMALL_LIMITS, scope, names, new TenantRates(1, 60));
        SampleRequest request = SampleRequest.parse("POST /rent-payment\nX-Org: a\n\n" + body, new ArrayList<>());
        ActiveRequest.Message message =
                new ActiveRequest.Message("", (byte) 0, 0, 0, 0, 0, 0, false, true, "", new byte[0]);
        input.begin(message, request, request.environment(), 0, 0);
        return input;
    }

    /** The input is a body. */
    @FuzzTest(maxDuration = "1m")
    void bodies(byte[] data) {
        List<List<String>> paths = List.of(List.of("a"), List.of("a", "b"), List.of("c", "d", "e"));
        new JsonFieldExtractor(SMALL_LIMITS, paths).extract(data);
    }

    /** The input is a rules file. */
    @FuzzTest(maxDuration = "1m")
    void files(byte[] data) throws IOException {
        Path file = Files.createTempFile("fuzz", ".rules");
        try {
            Files.write(file, data);
            Rulebook rulebook = RuleLoader.load(List.of(file), SMALL_LIMITS, RuleLoaderTest.NAMES)
                    .rulebook();
            decide(rulebook);
            checkKeyScheme(rulebook);
        } catch (SettingsFault e) {
            if (e.faults().isEmpty()) {
                throw new AssertionError("no fault told");
            }
        } finally {
            Files.delete(file);
        }
    }

    private static void decide(Rulebook rulebook) {
        SampleRequest request = SampleRequest.parse("POST /rent-payment\n\n{\"a\": 1}", new ArrayList<>());
        ActiveRequest.Message message =
                new ActiveRequest.Message("m", (byte) 0, 0, 0, 1, 1, 1, false, true, "", new byte[0]);
        rulebook.decide(message, request, request.environment(), 0, 0, RuleResult.untraced());
    }

    private static void checkKeyScheme(Rulebook rulebook) throws IOException {
        Optional<IdempotencyKeyScheme> scheme = rulebook.keyScheme();
        if (scheme.isPresent()
                && !RuleLoader.readScheme(scheme.get(), RuleLoaderTest.NAMES)
                        .keyScheme()
                        .equals(scheme)) {
            throw new AssertionError("a scheme that reads otherwise: " + scheme.get());
        }
    }
}
