package elderseam.cli;

import elderseam.fleet.partition.EndpointSubsetting;
import elderseam.fleet.partition.SubsetMetrics;
import elderseam.settings.Settings;
import elderseam.testkit.emulator.Policies;
import elderseam.testkit.emulator.Scenario;
import elderseam.testkit.emulator.ScenarioFile;
import elderseam.testkit.lab.ExperimentRun;
import elderseam.testkit.lab.HtmlReport;
import elderseam.testkit.lab.PairedComparison;
import elderseam.testkit.lab.ParameterSweep;
import elderseam.testkit.lab.RunTable;
import elderseam.testkit.lab.WorstDaySearch;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Experiments on the emulator. */
@Command(
        name = "lab",
        mixinStandardHelpOptions = true,
        versionProvider = Commands.Version.class,
        description = "Experiments on an emulated world.",
        subcommands = {
            LabCommand.RunCommand.class,
            LabCommand.SweepCommand.class,
            LabCommand.CompareCommand.class,
            LabCommand.FindCommand.class,
            LabCommand.SubsetsCommand.class
        })
final class LabCommand extends Commands.Group {
    private static String known(CommandSpec spec, String policy) {
        if (!Policies.names().contains(policy)) {
            throw new ParameterException(
                    spec.commandLine(), "no policy '" + policy + "', allowed: " + String.join(", ", Policies.names()));
        }
        return policy;
    }

    private static void bar(CommandSpec spec, String what, double part) {
        int full = (int) Math.round(30 * Math.min(1, part));
        spec.commandLine().getErr().printf(Locale.ROOT, "\r[%s%s] %s", "#".repeat(full), ".".repeat(30 - full), what);
        spec.commandLine().getErr().flush();
    }

    @Command(
            name = "run",
            mixinStandardHelpOptions = true,
            versionProvider = Commands.Version.class,
            description =
                    "One run of a scenario; exits with 1 where a rule was broken. One seed gives the same figures each time.")
    static final class RunCommand implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Parameters(index = "0", paramLabel = "SCENARIO", description = "a scenario file (docs/operate-lab.md)")
        private Path file;

        @Option(names = "--seed", defaultValue = "1", description = "(${DEFAULT-VALUE})")
        private long seed;

        @Option(
                names = "--policy",
                defaultValue = "module",
                split = ",",
                description = "one or more, apart by commas (${DEFAULT-VALUE})")
        private List<String> policies;

        @Option(names = "--report", paramLabel = "FILE", description = "writes an HTML page there")
        private Path report;

        @Option(names = "--json", description = "one JSON object a policy, and nothing else")
        private boolean json;

        @Override
        public Integer call() throws IOException {
            Scenario plan = ScenarioFile.read(file);
            policies.forEach(p -> known(spec, p));
            List<ExperimentRun> runs = new ArrayList<>();
            long broken = 0;
            for (String p : policies) {
                long start = System.nanoTime();
                runs.add(ExperimentRun.of(plan, p, seed, s -> {
                    if (!json) {
                        bar(spec, String.format(Locale.ROOT, "%s %.0f s", p, s), s / (plan.seconds() + 30));
                    }
                }));
                ExperimentRun r = runs.get(runs.size() - 1);
                broken +=
                        r.policy().equals("module") ? r.figures().get("broken").longValue() : 0;
                tell(r, (System.nanoTime() - start) / 1e9);
            }
            if (report != null) {
                Files.writeString(report, HtmlReport.page(plan, runs));
            }
            return broken == 0 ? 0 : 1;
        }

        private void tell(ExperimentRun r, double seconds) {
            PrintWriter out = spec.commandLine().getOut();
            if (json) {
                out.println(r.json(Map.of()));
                return;
            }
            spec.commandLine().getErr().println();
            out.printf(Locale.ROOT, "%s, seed %d, %.1f s of this machine%n", r.policy(), r.seed(), seconds);
            r.figures().forEach((k, v) -> out.printf(Locale.ROOT, "  %-26s %14.4f%n", k, v));
            r.broken().forEach((k, v) -> out.printf("  broken: %-18s %14d%n", k, v));
            out.print(r.words());
            out.flush();
        }
    }

    @Command(
            name = "sweep",
            mixinStandardHelpOptions = true,
            versionProvider = Commands.Version.class,
            description =
                    "A grid of values by policies by seeds, on all cores; begun anew on the same folder it goes on where it was.")
    static final class SweepCommand implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Parameters(index = "0", paramLabel = "SCENARIO")
        private Path file;

        @Parameters(index = "1", paramLabel = "FOLDER", description = "where results go: runs.jsonl, runs.csv")
        private Path folder;

        @Option(
                names = "--set",
                paramLabel = "KIND.NAME.KEY=V,V",
                description = "values of one key of the scenario; any number")
        private List<String> sets = new ArrayList<>();

        @Option(names = "--policy", defaultValue = "module", split = ",", description = "(${DEFAULT-VALUE})")
        private List<String> policies;

        @Option(names = "--seeds", defaultValue = "5", description = "how many, from 1 on (${DEFAULT-VALUE})")
        private int seeds;

        @Option(names = "--threads", defaultValue = "0", description = "0: one a core (${DEFAULT-VALUE})")
        private int threads;

        @Override
        public Integer call() throws IOException, InterruptedException {
            policies.forEach(p -> known(spec, p));
            Map<String, List<String>> grid = new LinkedHashMap<>();
            for (String s : sets) {
                int eq = s.indexOf('=');
                if (eq < 1 || !s.substring(0, eq).matches("[a-z]+\\.[A-Za-z0-9_.-]+\\.[a-z_]+")) {
                    throw new ParameterException(
                            spec.commandLine(), "--set " + s + ", allowed: KIND.NAME.KEY=VALUE,VALUE");
                }
                grid.put(s.substring(0, eq), List.of(s.substring(eq + 1).split(",")));
            }
            if (seeds < 1 || seeds > 100_000 || threads < 0) {
                throw new ParameterException(
                        spec.commandLine(),
                        "--seeds " + seeds + " --threads " + threads + ", allowed: 1 to 100000, 0 or more");
            }
            List<ParameterSweep.Cell> cells = ParameterSweep.cells(grid, policies, 1, seeds);
            int ran = new ParameterSweep(file.toString(), Settings.lines(file, "a scenario"), folder)
                    .run(
                            cells,
                            threads == 0 ? Runtime.getRuntime().availableProcessors() : threads,
                            (done, all) -> bar(spec, done + " of " + all, done / (double) all));
            spec.commandLine().getErr().println();
            List<RunTable.Row> rows = RunTable.read(folder.resolve("runs.jsonl"));
            Files.writeString(folder.resolve("runs.csv"), RunTable.csv(rows));
            spec.commandLine()
                    .getOut()
                    .println(ran + " runs now, " + rows.size() + " in " + folder.resolve("runs.jsonl")
                            + " and runs.csv");
            return 0;
        }
    }

    @Command(
            name = "compare",
            mixinStandardHelpOptions = true,
            versionProvider = Commands.Version.class,
            description =
                    "Paired differences over seeds of two policies (or of two folders), with intervals of 95%%, and which of them are noise.")
    static final class CompareCommand implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Parameters(index = "0", paramLabel = "A", description = "FOLDER, or FOLDER:POLICY")
        private String a;

        @Parameters(index = "1", paramLabel = "B")
        private String b;

        @Option(
                names = "--figure",
                split = ",",
                defaultValue = "service,worst_10s,refused,failed,calls,failed_calls,once_p99_ms",
                description = "(${DEFAULT-VALUE})")
        private List<String> figures;

        @Override
        public Integer call() throws IOException {
            Map<String, RunTable.Row> left = rows(a), right = rows(b);
            List<String> seeds =
                    left.keySet().stream().filter(right::containsKey).toList();
            if (seeds.isEmpty()) {
                throw new IOException(a + " and " + b
                        + ": no run in common, allowed: the same scenario values and seeds on both sides");
            }
            PrintWriter out = spec.commandLine().getOut();
            out.printf("%-22s %12s %12s %12s  %s%n", seeds.size() + " pairs", "A", "B", "B - A", "95%");
            for (String f : figures) {
                PairedComparison c = PairedComparison.of(
                        seeds.stream().mapToDouble(s -> left.get(s).number(f)).toArray(),
                        seeds.stream().mapToDouble(s -> right.get(s).number(f)).toArray());
                out.printf("%-22s %s%n", f, c.words());
            }
            return 0;
        }

        /** By what both sides must share: values and seed. */
        private static Map<String, RunTable.Row> rows(String side) throws IOException {
            int colon = side.lastIndexOf(':');
            String policy = colon > 0 ? side.substring(colon + 1) : "";
            Map<String, RunTable.Row> all = new LinkedHashMap<>();
            for (RunTable.Row r : RunTable.read(
                    Path.of(colon > 0 ? side.substring(0, colon) : side).resolve("runs.jsonl"))) {
                if (policy.isEmpty() || r.text("policy").equals(policy)) {
                    all.put(r.text("cell").replace(" " + r.text("policy") + " ", " "), r);
                }
            }
            return all;
        }
    }

    @Command(
            name = "find",
            mixinStandardHelpOptions = true,
            versionProvider = Commands.Version.class,
            description =
                    "Searches for the day on which a policy does worst against another, and writes it as a scenario, shrunk.")
    static final class FindCommand implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Parameters(
                index = "0",
                paramLabel = "SCENARIO",
                description = "fleet, kinds and clients, to which the day is added")
        private Path file;

        @Parameters(index = "1", paramLabel = "FOUND", description = "where the day is written")
        private Path found;

        @Option(names = "--policy", defaultValue = "module", description = "(${DEFAULT-VALUE})")
        private String policy;

        @Option(names = "--against", defaultValue = "oracle", description = "(${DEFAULT-VALUE})")
        private String against;

        @Option(names = "--days", defaultValue = "200", description = "played at the most (${DEFAULT-VALUE})")
        private int days;

        @Option(names = "--seed", defaultValue = "1", description = "(${DEFAULT-VALUE})")
        private long seed;

        @Override
        public Integer call() throws IOException {
            WorstDaySearch find = new WorstDaySearch(
                    file.toString(),
                    Settings.lines(file, "a scenario"),
                    known(spec, policy),
                    known(spec, against),
                    seed,
                    words -> spec.commandLine().getErr().println(words));
            WorstDaySearch.Found f = find.search(days);
            Files.write(found, f.scenario());
            spec.commandLine()
                    .getOut()
                    .printf(
                            Locale.ROOT,
                            "%s: gap %.4f (%s %.4f, %s %.4f), %d days played%n",
                            found,
                            f.gap(),
                            policy,
                            f.policy(),
                            against,
                            f.against(),
                            f.played());
            return 0;
        }
    }

    @Command(
            name = "subsets",
            mixinStandardHelpOptions = true,
            versionProvider = Commands.Version.class,
            description =
                    "Ways to choose subsets side by side: how even they are, and what moves as members come and go.")
    static final class SubsetsCommand implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Option(
                names = "--members",
                split = ",",
                defaultValue = "8,30,100,300,1000",
                description = "sizes of the fleet (${DEFAULT-VALUE})")
        private List<Integer> members;

        @Option(names = "--endpoints", defaultValue = "14", description = "1 to 1000 (${DEFAULT-VALUE})")
        private int endpoints;

        @Option(names = "--size", defaultValue = "4", description = "of a subset (${DEFAULT-VALUE})")
        private int size;

        @Override
        public Integer call() {
            if (endpoints < 1
                    || endpoints > 1_000
                    || size < 1
                    || size > endpoints
                    || members.stream().anyMatch(n -> n < 2 || n > 2_000)) {
                throw new ParameterException(
                        spec.commandLine(),
                        "allowed: 1 to 1000 endpoints, a size of 1 to their number, 2 to 2000 members");
            }
            PrintWriter out = spec.commandLine().getOut();
            List<String> hosts = names("s", endpoints);
            out.printf(
                    "%-10s %8s %14s %12s %12s %14s%n",
                    "way", "members", "max over mean", "one joins", "one leaves", "endpoint fails");
            for (EndpointSubsetting.Algorithm way : EndpointSubsetting.Algorithm.values()) {
                for (int n : members) {
                    Map<String, List<String>> now = EndpointSubsetting.assign(way, names("m", n), hosts, size);
                    double
                            joins =
                                    SubsetMetrics.movedFraction(
                                            now, EndpointSubsetting.assign(way, names("m", n + 1), hosts, size)),
                            leaves = 0,
                            fails = 0;
                    for (int i = 0; i < SAMPLES; i++) { // whoever it is that goes
                        List<String> rest = names("m", n);
                        rest.remove(i * n / SAMPLES);
                        leaves += SubsetMetrics.movedFraction(now, EndpointSubsetting.assign(way, rest, hosts, size))
                                / SAMPLES;
                        List<String> left = names("s", endpoints);
                        left.remove(i * endpoints / SAMPLES);
                        fails += SubsetMetrics.movedFraction(
                                        now,
                                        EndpointSubsetting.assign(
                                                way, names("m", n), left, Math.min(size, left.size())))
                                / SAMPLES;
                    }
                    out.printf(
                            Locale.ROOT,
                            "%-10s %8d %14.3f %11.1f%% %11.1f%% %13.1f%%%n",
                            way.wireName(),
                            n,
                            SubsetMetrics.maxOverMeanLoad(now, hosts),
                            100 * joins,
                            100 * leaves,
                            100 * fails);
                }
            }
            return 0;
        }

        private static final int SAMPLES = 8;

        private static List<String> names(String of, int n) {
            List<String> all = new ArrayList<>();
            for (int i = 0; i < n; i++) {
                all.add(of + i);
            }
            return all;
        }
    }
}
