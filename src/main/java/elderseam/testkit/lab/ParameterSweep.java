package elderseam.testkit.lab;

import elderseam.testkit.emulator.Scenario;
import elderseam.testkit.emulator.ScenarioFile;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.BiConsumer;

/**
 * Runs a grid of scenario values, policies and seeds on several threads. Each completed run is one line of {@code runs.jsonl}, written
 * in one piece. A sweep that is started again on its folder cuts off a line that an abrupt end left incomplete, and skips the runs that
 * are there.
 */
public final class ParameterSweep {
    private static final String RESULTS_FILE = "runs.jsonl";
    private static final String SCENARIO_COPY = "scenario";

    /** Name of the value that identifies the cell of a run in the results. */
    private static final String CELL = "cell";

    /**
     * One run of the grid.
     *
     * @param overrides values by {@code kind.name.key} that replace those of the scenario
     */
    public record Cell(Map<String, String> overrides, String policy, long seed) {
        /** Identifies the run in the results file: the form is stored and must not change. */
        String name() {
            return overrides + " " + policy + " " + seed;
        }

        private Map<String, String> parameters() {
            Map<String, String> parameters = new LinkedHashMap<>();
            parameters.put(CELL, name());
            parameters.putAll(overrides);
            return parameters;
        }
    }

    private final String file;
    private final List<String> scenarioLines;
    private final Path folder;
    private final Path results;

    /** Guarded by this. */
    private int completedRuns;

    /**
     * Creates a sweep.
     *
     * @param file name of the scenario's file, for messages
     * @param folder takes the results; it belongs to this sweep alone
     */
    public ParameterSweep(String file, List<String> scenarioLines, Path folder) {
        this.file = file;
        this.scenarioLines = scenarioLines;
        this.folder = folder;
        this.results = folder.resolve(RESULTS_FILE);
    }

    /**
     * Lists every combination of values, policies and seeds.
     *
     * @param grid the values to try of each {@code kind.name.key}
     * @param seeds how many seeds, from {@code firstSeed} on
     */
    public static List<Cell> cells(Map<String, List<String>> grid, List<String> policies, long firstSeed, int seeds) {
        List<Cell> cells = new ArrayList<>();
        for (Map<String, String> overrides : combinations(grid)) {
            for (String policy : policies) {
                for (int i = 0; i < seeds; i++) {
                    cells.add(new Cell(overrides, policy, firstSeed + i));
                }
            }
        }
        return cells;
    }

    private static List<Map<String, String>> combinations(Map<String, List<String>> grid) {
        List<Map<String, String>> combinations = List.of(Map.of());
        for (Map.Entry<String, List<String>> key : grid.entrySet()) {
            List<Map<String, String>> extended = new ArrayList<>();
            for (Map<String, String> combination : combinations) {
                for (String value : key.getValue()) {
                    Map<String, String> copy = new LinkedHashMap<>(combination);
                    copy.put(key.getKey(), value);
                    extended.add(copy);
                }
            }
            combinations = extended;
        }
        return combinations;
    }

    /**
     * Runs the cells whose results are not there yet, and waits for them.
     *
     * @param progress receives the numbers of completed and of all runs, at the start and after each run, on any thread but never on
     *     two at once
     * @return how many runs were made by this call
     * @throws IOException if a scenario of the grid is invalid (before any run), the folder holds the runs of another scenario, or a
     *     run or file fails
     */
    public int run(List<Cell> cells, int threads, BiConsumer<Integer, Integer> progress)
            throws IOException, InterruptedException {
        for (Cell cell : cells) {
            scenario(cell);
        }
        claimFolder();
        Set<String> completed = completedCells();
        List<Cell> remaining =
                cells.stream().filter(cell -> !completed.contains(cell.name())).toList();
        synchronized (this) {
            completedRuns = cells.size() - remaining.size();
            progress.accept(completedRuns, cells.size());
        }
        runAll(remaining, threads, cells.size(), progress);
        return remaining.size();
    }

    private Scenario scenario(Cell cell) throws IOException {
        return ScenarioFile.of(file, scenarioLines, cell.overrides);
    }

    /** Creates the folder with a copy of the scenario, or checks that the copy that is there is the same. */
    private void claimFolder() throws IOException {
        Files.createDirectories(folder);
        Path copy = folder.resolve(SCENARIO_COPY);
        byte[] text = String.join("\n", scenarioLines).getBytes(StandardCharsets.UTF_8);
        if (Files.exists(copy) && !Arrays.equals(Files.readAllBytes(copy), text)) {
            throw new IOException(folder + ": holds the runs of another scenario, allowed: a folder of its own");
        }
        Files.write(copy, text);
    }

    /** Returns the names of the cells in the results file, after cutting off an incomplete last line. */
    private Set<String> completedCells() throws IOException {
        Set<String> completed = new HashSet<>();
        if (!Files.exists(results)) {
            return completed;
        }
        String text = Files.readString(results);
        int completeLength = text.lastIndexOf('\n') + 1;
        if (completeLength < text.length()) {
            Files.writeString(results, text.substring(0, completeLength));
        }
        for (RunTable.Row row : RunTable.read(results)) {
            completed.add(row.text(CELL));
        }
        return completed;
    }

    private void runAll(List<Cell> cells, int threads, int total, BiConsumer<Integer, Integer> progress)
            throws IOException, InterruptedException {
        ExecutorService pool = Executors.newFixedThreadPool(threads);
        try {
            List<Future<?>> runs = new ArrayList<>();
            for (Cell cell : cells) {
                runs.add(pool.submit(() -> {
                    ExperimentRun run = ExperimentRun.of(scenario(cell), cell.policy, cell.seed, seconds -> {});
                    append(run.json(cell.parameters()), total, progress);
                    return null;
                }));
            }
            for (Future<?> run : runs) {
                run.get();
            }
        } catch (ExecutionException e) {
            throw new IOException("a run failed: " + e.getCause(), e.getCause());
        } finally {
            pool.shutdownNow();
        }
    }

    private synchronized void append(String json, int total, BiConsumer<Integer, Integer> progress) throws IOException {
        Files.writeString(results, json + "\n", StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        completedRuns++;
        progress.accept(completedRuns, total);
    }
}
