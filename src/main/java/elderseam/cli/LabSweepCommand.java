package elderseam.cli;

import elderseam.settings.Settings;
import elderseam.testkit.lab.ParameterSweep;
import elderseam.testkit.lab.RunTable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code lab sweep}: a grid of a scenario's values, policies and seeds. */
@Command(
        name = "sweep",
        description =
                "A grid of values by policies by seeds, on all cores; begun anew on the same folder it goes on where it was.")
final class LabSweepCommand extends LabCommandBase {
    private static final String SCENARIO_KEY = "[a-z]+\\.[A-Za-z0-9_.-]+\\.[a-z_]+";
    private static final int FIRST_SEED = 1;
    private static final int MAX_SEEDS = 100_000;
    private static final String RUNS_FILE = "runs.jsonl";
    private static final String TABLE_FILE = "runs.csv";

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
        requirePolicies(policies);
        Map<String, List<String>> grid = grid();
        if (seeds < 1 || seeds > MAX_SEEDS || threads < 0) {
            throw usageFault("--seeds " + seeds + " --threads " + threads + ", allowed: 1 to 100000, 0 or more");
        }
        int played = play(ParameterSweep.cells(grid, policies, FIRST_SEED, seeds));
        err().println();
        Path runsFile = folder.resolve(RUNS_FILE);
        List<RunTable.Row> rows = RunTable.read(runsFile);
        Files.writeString(folder.resolve(TABLE_FILE), RunTable.csv(rows));
        out().println(played + " runs now, " + rows.size() + " in " + runsFile + " and " + TABLE_FILE);
        return ExitCodes.OK;
    }

    /** The values of each key that {@code --set} names. */
    private Map<String, List<String>> grid() {
        Map<String, List<String>> grid = new LinkedHashMap<>();
        for (String set : sets) {
            int equals = set.indexOf('=');
            if (equals < 1 || !set.substring(0, equals).matches(SCENARIO_KEY)) {
                throw usageFault("--set " + set + ", allowed: KIND.NAME.KEY=VALUE,VALUE");
            }
            String[] values = set.substring(equals + 1).split(",");
            grid.put(set.substring(0, equals), List.of(values));
        }
        return grid;
    }

    /** Plays the cells that the folder does not hold yet, and returns their number. */
    private int play(List<ParameterSweep.Cell> cells) throws IOException, InterruptedException {
        int usedThreads = threads == 0 ? Runtime.getRuntime().availableProcessors() : threads;
        ParameterSweep sweep = new ParameterSweep(file.toString(), Settings.lines(file, "a scenario"), folder);
        return sweep.run(cells, usedThreads, (done, all) -> showProgress(done + " of " + all, done / (double) all));
    }
}
