package elderseam.cli;

import elderseam.core.JsonValue;
import elderseam.rules.ExpressionExplainer;
import elderseam.rules.KnownNames;
import elderseam.rules.RuleExample;
import elderseam.rules.RuleLimits;
import elderseam.rules.RuleLoader;
import elderseam.rules.SampleRequest;
import elderseam.rules.SampleResult;
import elderseam.settings.SettingKeys;
import elderseam.settings.Settings;
import elderseam.settings.SettingsFault;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The operator's rules on a desk: what is wrong with them, what they cost, what a request would get. */
@Command(
        name = "rules",
        mixinStandardHelpOptions = true,
        versionProvider = Commands.Version.class,
        description = "The operator's rules.",
        subcommands = {
            RulesCommand.Check.class,
            RulesCommand.Explain.class,
            RulesCommand.Eval.class,
            RulesCommand.Test.class
        })
final class RulesCommand extends Commands.Group {
    private static final int MOST_REQUEST = 1 << 20;

    /** What all of them are given. */
    static final class Given {
        @Parameters(
                index = "0",
                paramLabel = "FILE",
                description = "a rules file, or settings whose [rules] names them")
        private Path file;

        @Option(
                names = "--config",
                paramLabel = "JSON",
                description = "the platform's configuration (RELAY_CONFIG), which names classes and tenants; without "
                        + "it each name that stands in a rule is taken for one")
        private Path config;

        Settings settings() throws IOException {
            boolean settings = Settings.lines(file, "a rules file").stream()
                    .anyMatch(l -> l.strip().equals("[rules]"));
            return settings ? Settings.read(file, SettingKeys.ALL, SettingKeys.CONTRADICTIONS) : Settings.none();
        }

        private List<Path> files(Settings s) {
            return s.tells(SettingKeys.RULES_FILES)
                    ? s.get(SettingKeys.RULES_FILES).stream().map(Path::of).toList()
                    : List.of(file);
        }

        KnownNames names() throws IOException {
            if (config == null) {
                return KnownNames.unchecked();
            }
            JsonValue settings = JsonValue.read(Files.readAllBytes(config)).get("settings");
            return KnownNames.of(names(settings.get("services")), names(settings.get("orgs")));
        }

        private static List<String> names(JsonValue list) {
            return list.items().stream().map(i -> i.get("name").asText("")).toList();
        }

        RuleLoader.Loaded read(KnownNames names) throws IOException {
            Settings s = settings();
            return RuleLoader.read(files(s), RuleLimits.of(s), names);
        }

        String place() {
            return file.toString();
        }
    }

    @Command(
            name = "check",
            mixinStandardHelpOptions = true,
            versionProvider = Commands.Version.class,
            description = "Tells every fault, each with its place; exits with 1 where there is one.")
    static final class Check implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Mixin
        private Given given;

        @Override
        public Integer call() throws IOException {
            KnownNames names = given.names();
            RuleLoader.Loaded l = given.read(names);
            l.warnings().forEach(w -> spec.commandLine().getErr().println("warning: " + w));
            spec.commandLine()
                    .getOut()
                    .println(
                            given.place() + ": no fault, " + l.rulebook().ruleCount() + " rules, at most " + l.maxCost()
                                    + " units a request"
                                    + (names.checked() ? "" : " (classes and tenants not checked: no --config)"));
            return 0;
        }
    }

    @Command(
            name = "explain",
            mixinStandardHelpOptions = true,
            versionProvider = Commands.Version.class,
            description =
                    "The checked tree of an expression: of each part the type, and the most units that it may cost.")
    static final class Explain implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Mixin
        private Given given;

        @Parameters(index = "1", paramLabel = "EXPR", description = "such as \"message.class == 'invoice'\"")
        private String expression;

        @Override
        public Integer call() throws IOException {
            spec.commandLine()
                    .getOut()
                    .println(ExpressionExplainer.explain(expression, RuleLimits.of(given.settings()))
                            .stripTrailing());
            return 0;
        }
    }

    @Command(
            name = "eval",
            mixinStandardHelpOptions = true,
            versionProvider = Commands.Version.class,
            description =
                    "Reads a request from standard input, as it is on the wire, and tells what it would get and why.")
    static final class Eval implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Mixin
        private Given given;

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
            KnownNames names = given.names();
            RuleLoader.Loaded l = given.read(names);
            List<String> faults = new ArrayList<>();
            SampleRequest sample =
                    SampleRequest.parse(new String(System.in.readNBytes(MOST_REQUEST), StandardCharsets.UTF_8), faults);
            sample.setState(state, faults);
            if (at != null) {
                sample.setTime(at, faults);
            }
            if (!faults.isEmpty()) {
                throw new SettingsFault(
                        faults.stream().map(f -> "request: " + f).toList());
            }
            SampleResult result = SampleResult.of(l.rulebook(), names, sample);
            PrintWriter out = spec.commandLine().getOut();
            if (json) {
                StringBuilder all = new StringBuilder("{");
                result.values()
                        .forEach((field, v) -> all.append(JsonValue.quote(field.label()))
                                .append(':')
                                .append(JsonValue.quote(v))
                                .append(','));
                out.println(all + "\"why\":["
                        + String.join(
                                ",",
                                result.trace().stream().map(JsonValue::quote).toList()) + "]}");
            } else {
                result.values().forEach((field, v) -> out.printf("%-12s %s%n", field.label(), v));
                result.trace().forEach(t -> out.println("  " + t));
            }
            return 0;
        }
    }

    @Command(
            name = "test",
            mixinStandardHelpOptions = true,
            versionProvider = Commands.Version.class,
            description = "Runs the examples that stand beside the rules; exits with 1 where one does not hold.")
    static final class Test implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Mixin
        private Given given;

        @Override
        public Integer call() throws IOException {
            KnownNames names = given.names();
            RuleLoader.Loaded l = given.read(names);
            int failed = 0;
            for (RuleExample e : l.examples()) {
                List<String> wrong = e.run(l.rulebook(), names);
                failed += wrong.isEmpty() ? 0 : 1;
                spec.commandLine().getOut().println((wrong.isEmpty() ? "holds  " : "FAILS  ") + e.name());
                wrong.forEach(w -> spec.commandLine().getOut().println("  " + w));
            }
            spec.commandLine().getOut().println(l.examples().size() + " examples, " + failed + " failed");
            return failed == 0 ? 0 : 1;
        }
    }
}
