package elderseam.testkit.lab;

import elderseam.testkit.emulator.Scenario;
import elderseam.testkit.emulator.ScenarioFile;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
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
 * A grid of parameters by policies by seeds, on all cores. Each run that is done is a line of {@code runs.jsonl}, written whole at
 * once; what is begun anew on the same folder skips those that are there, and a line that was torn by a kill is cut off.
 */
public final class ParameterSweep {
    /** One cell of the grid: values by {@code kind.name.key}, policy and seed. */
    public record Cell(Map<String, String> set, String policy, long seed) {
        String name() {
            return set + " " + policy + " " + seed;
        }
    }

    private final String file;
    private final List<String> lines;
    private final Path folder;

    /** Of a scenario, into a folder that is this sweep's own. */
    public ParameterSweep(String file, List<String> lines, Path folder) {
        this.file = file;
        this.lines = lines;
        this.folder = folder;
    }

    /** {@code grid}: values for each {@code kind.name.key}. */
    public static List<Cell> cells(Map<String, List<String>> grid, List<String> policies, long firstSeed, int seeds) {
        List<Map<String, String>> sets = new ArrayList<>(List.of(new LinkedHashMap<>()));
        for (Map.Entry<String, List<String>> e : grid.entrySet()) {
            List<Map<String, String>> more = new ArrayList<>();
            for (Map<String, String> s : sets) {
                for (String v : e.getValue()) {
                    Map<String, String> with = new LinkedHashMap<>(s);
                    with.put(e.getKey(), v);
                    more.add(with);
                }
            }
            sets = more;
        }
        List<Cell> all = new ArrayList<>();
        for (Map<String, String> s : sets) {
            for (String p : policies) {
                for (int i = 0; i < seeds; i++) {
                    all.add(new Cell(s, p, firstSeed + i));
                }
            }
        }
        return all;
    }

    /** Runs what is not there yet; {@code progress}: done and all. Returns how many ran now. */
    public int run(List<Cell> cells, int threads, BiConsumer<Integer, Integer> progress)
            throws IOException, InterruptedException {
        for (Cell c : cells) {
            ScenarioFile.of(file, lines, c.set); // every plan of the grid is sound before any runs
        }
        Files.createDirectories(folder);
        Path results = folder.resolve("runs.jsonl");
        Path copy = folder.resolve("scenario");
        byte[] text = String.join("\n", lines).getBytes(StandardCharsets.UTF_8);
        if (Files.exists(copy) && !java.util.Arrays.equals(Files.readAllBytes(copy), text)) {
            throw new IOException(folder + ": holds the runs of another scenario, allowed: a folder of its own");
        }
        Files.write(copy, text);
        Set<String> there = there(results);
        List<Cell> left = cells.stream().filter(c -> !there.contains(c.name())).toList();
        ExecutorService pool = Executors.newFixedThreadPool(threads);
        int[] done = {cells.size() - left.size()};
        progress.accept(done[0], cells.size());
        try {
            List<Future<?>> all = new ArrayList<>();
            for (Cell c : left) {
                all.add(pool.submit(() -> {
                    Scenario plan = ScenarioFile.of(file, lines, c.set);
                    String line =
                            ExperimentRun.of(plan, c.policy, c.seed, s -> {}).json(named(c)) + "\n";
                    synchronized (this) {
                        Files.writeString(results, line, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
                        progress.accept(++done[0], cells.size());
                    }
                    return null;
                }));
            }
            for (Future<?> f : all) {
                f.get();
            }
        } catch (ExecutionException e) {
            throw new IOException("a run failed: " + e.getCause(), e.getCause());
        } finally {
            pool.shutdownNow();
        }
        return left.size();
    }

    private static Map<String, String> named(Cell c) {
        Map<String, String> all = new LinkedHashMap<>();
        all.put("cell", c.name());
        all.putAll(c.set);
        return all;
    }

    private static Set<String> there(Path results) throws IOException {
        Set<String> all = new HashSet<>();
        if (!Files.exists(results)) {
            return all;
        }
        String text = Files.readString(results);
        int whole = text.lastIndexOf('\n') + 1;
        if (whole < text.length()) {
            Files.writeString(results, text.substring(0, whole));
        }
        for (RunTable.Row r : RunTable.read(results)) {
            all.add(r.text("cell"));
        }
        return all;
    }
}
