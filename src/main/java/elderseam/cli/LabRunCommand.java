package elderseam.cli;

import elderseam.testkit.emulator.Scenario;
import elderseam.testkit.emulator.ScenarioFile;
import elderseam.testkit.lab.ExperimentRun;
import elderseam.testkit.lab.HtmlReport;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code lab run}: one scenario and seed, with one or more policies. */
@Command(
        name = "run",
        description =
                "One run of a scenario; exits with 1 where a rule was broken. One seed gives the same figures each time.")
final class LabRunCommand extends LabCommandBase {
    /** The policy of the dispatcher itself: the one whose broken rules are a failure. */
    private static final String OWN_POLICY = "module";

    /** About how long a run goes on after the scenario's end, until its last requests have ended; for the progress bar. */
    private static final int RUNOUT_S = 30;

    private static final double NS_PER_S = TimeUnit.SECONDS.toNanos(1);

    @Parameters(index = "0", paramLabel = "SCENARIO", description = "a scenario file (docs/operate-lab.md)")
    private Path file;

    @Option(names = "--seed", defaultValue = "1", description = "(${DEFAULT-VALUE})")
    private long seed;

    @Option(
            names = "--policy",
            defaultValue = OWN_POLICY,
            split = ",",
            description = "one or more, apart by commas (${DEFAULT-VALUE})")
    private List<String> policies;

    @Option(names = "--report", paramLabel = "FILE", description = "writes an HTML page there")
    private Path report;

    @Option(names = "--json", description = "one JSON object a policy, and nothing else")
    private boolean json;

    @Override
    public Integer call() throws IOException {
        Scenario scenario = ScenarioFile.read(file);
        requirePolicies(policies);
        List<ExperimentRun> runs = new ArrayList<>();
        boolean ruleBroken = false;
        for (String policy : policies) {
            long startNs = System.nanoTime();
            ExperimentRun run = ExperimentRun.of(scenario, policy, seed, seconds -> showRun(scenario, policy, seconds));
            runs.add(run);
            ruleBroken |= policy.equals(OWN_POLICY) && run.figures().get("broken") >= 1;
            print(run, (System.nanoTime() - startNs) / NS_PER_S);
        }
        if (report != null) {
            Files.writeString(report, HtmlReport.page(scenario, runs));
        }
        return ruleBroken ? ExitCodes.FAILED : ExitCodes.OK;
    }

    private void showRun(Scenario scenario, String policy, double virtualSeconds) {
        if (!json) {
            String label = String.format(Locale.ROOT, "%s %.0f s", policy, virtualSeconds);
            showProgress(label, virtualSeconds / (scenario.seconds() + RUNOUT_S));
        }
    }

    private void print(ExperimentRun run, double wallSeconds) {
        if (json) {
            out().println(run.json(Map.of()));
            return;
        }
        err().println();
        out().printf(Locale.ROOT, "%s, seed %d, %.1f s of this machine%n", run.policy(), run.seed(), wallSeconds);
        run.figures().forEach((name, value) -> out().printf(Locale.ROOT, "  %-26s %14.4f%n", name, value));
        run.broken().forEach((rule, count) -> out().printf("  broken: %-18s %14d%n", rule, count));
        out().print(run.violations());
        out().flush();
    }
}
