package elderseam.cli;

import elderseam.core.JsonValue;
import elderseam.rules.ExpressionExplainer;
import elderseam.rules.KnownNames;
import elderseam.rules.RuleExample;
import elderseam.rules.RuleLimits;
import elderseam.rules.RuleLoader;
import elderseam.rules.SampleRequest;
import elderseam.rules.SampleResult;
import elderseam.settings.SettingsFault;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code rules}: checks the operator's rules and tries them out, without a dispatcher. */
@Command(
        name = "rules",
        description = "The operator's rules.",
        subcommands = {
            RulesCommand.Check.class,
            RulesCommand.Explain.class,
            RulesCommand.Eval.class,
            RulesCommand.Test.class
        })
final class RulesCommand extends CommandGroup {
    @Command(name = "check", description = "Tells every fault, each with its place; exits with 1 where there is one.")
    static final class Check extends CommandBase {
        @Mixin
        private RulesInput input;

        @Override
        public Integer call() throws IOException {
            KnownNames names = input.names();
            RuleLoader.Loaded loaded = input.load(names);
            loaded.warnings().forEach(warning -> err().println("warning: " + warning));
            String unchecked = names.checked() ? "" : " (classes and tenants not checked: no --config)";
            out().println(input.file() + ": no fault, " + loaded.rulebook().ruleCount() + " rules, at most "
                    + loaded.maxCost() + " units a request" + unchecked);
            return ExitCodes.OK;
        }
    }

    @Command(
            name = "explain",
            description =
                    "The checked tree of an expression: of each part the type, and the most units that it may cost.")
    static final class Explain extends CommandBase {
        @Mixin
        private RulesInput input;

        @Parameters(index = "1", paramLabel = "EXPR", description = "such as \"message.class == 'invoice'\"")
        private String expression;

        @Override
        public Integer call() throws IOException {
            RuleLimits limits = RuleLimits.of(input.settings());
            out().println(ExpressionExplainer.explain(expression, limits).stripTrailing());
            return ExitCodes.OK;
        }
    }

    @Command(
            name = "eval",
            description =
                    "Reads a request from standard input, as it is on the wire, and tells what it would get and why.")
    static final class Eval extends CommandBase {
        private static final int MAX_REQUEST_BYTES = 1 << 20;

        @Mixin
        private RulesInput input;

        @Option(
                names = "--state",
                defaultValue = "",
                paramLabel = "WORDS",
                description = "how the dispatcher stands: rate=N share=N breaker=closed|half_open|open "
                        + "in_flight=N wait=S held=N remaining=S")
        private String state;

        @Option(names = "--at", paramLabel = "TIME", description = "such as 2026-12-31T08:00:00Z")
        private String at;

        @Option(names = "--json", description = "one JSON object")
        private boolean json;

        @Override
        public Integer call() throws IOException {
            KnownNames names = input.names();
            RuleLoader.Loaded loaded = input.load(names);
            SampleRequest request = readRequest();
            SampleResult result = SampleResult.of(loaded.rulebook(), names, request);
            if (json) {
                out().println(jsonObject(result));
            } else {
                result.values().forEach((field, value) -> out().printf("%-12s %s%n", field.label(), value));
                result.trace().forEach(line -> out().println("  " + line));
            }
            return ExitCodes.OK;
        }

        /** The request on standard input, in the dispatcher's state and at the time that the options give. */
        private SampleRequest readRequest() throws IOException {
            String text = new String(System.in.readNBytes(MAX_REQUEST_BYTES), StandardCharsets.UTF_8);
            List<String> faults = new ArrayList<>();
            SampleRequest request = SampleRequest.parse(text, faults);
            request.setState(state, faults);
            if (at != null) {
                request.setTime(at, faults);
            }
            if (!faults.isEmpty()) {
                throw new SettingsFault(
                        faults.stream().map(fault -> "request: " + fault).toList());
            }
            return request;
        }

        private static String jsonObject(SampleResult result) {
            StringBuilder object = new StringBuilder("{");
            result.values()
                    .forEach((field, value) -> object.append(JsonValue.quote(field.label()))
                            .append(':')
                            .append(JsonValue.quote(value))
                            .append(','));
            String why = String.join(
                    ",", result.trace().stream().map(JsonValue::quote).toList());
            return object + "\"why\":[" + why + "]}";
        }
    }

    @Command(
            name = "test",
            description = "Runs the examples that stand beside the rules; exits with 1 where one does not hold.")
    static final class Test extends CommandBase {
        @Mixin
        private RulesInput input;

        @Override
        public Integer call() throws IOException {
            KnownNames names = input.names();
            RuleLoader.Loaded loaded = input.load(names);
            int failed = 0;
            for (RuleExample example : loaded.examples()) {
                List<String> differences = example.run(loaded.rulebook(), names);
                failed += differences.isEmpty() ? 0 : 1;
                print(example, differences);
            }
            out().println(loaded.examples().size() + " examples, " + failed + " failed");
            return failed == 0 ? ExitCodes.OK : ExitCodes.FAILED;
        }

        private void print(RuleExample example, List<String> differences) {
            String verdict = differences.isEmpty() ? "holds  " : "FAILS  ";
            out().println(verdict + example.name());
            differences.forEach(difference -> out().println("  " + difference));
        }
    }
}
