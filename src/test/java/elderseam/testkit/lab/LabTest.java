package elderseam.testkit.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import elderseam.settings.SettingsFault;
import elderseam.testkit.emulator.Scenario;
import elderseam.testkit.emulator.ScenarioFile;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class LabTest {
    private static final List<String> SMALL = List.of(
            "[scenario small]",
            "seconds = 8",
            "[fleet f]",
            "dispatchers = 2",
            "[kind bank]",
            "destinations = 2",
            "per_s = 15",
            "[trouble t]",
            "kind = bank",
            "at = 2",
            "for = 3",
            "fault = hang");

    @TempDir
    Path folder;

    /** Cut off in the middle, torn at its end, and begun anew: each run is there once, and its figures are what they were. */
    @Test
    void aSweepGoesOnWhereItWas() throws Exception {
        ParameterSweep sweep = new ParameterSweep("small", SMALL, folder.resolve("s"));
        List<ParameterSweep.Cell> cells = ParameterSweep.cells(
                Map.of("trouble.t.fault", List.of("hang", "fail")), List.of("module", "robin"), 1, 2);
        assertEquals(8, cells.size());
        int[] last = new int[2];
        assertEquals(8, sweep.run(cells, 4, (done, all) -> {
            last[0] = done;
            last[1] = all;
        }));
        assertEquals(8, last[0]);
        Path file = folder.resolve("s/runs.jsonl");
        List<String> whole = Files.readAllLines(file).stream().sorted().toList();
        List<String> lines = Files.readAllLines(file);
        Files.writeString(
                file,
                String.join("\n", lines.subList(0, 5)) + "\n" + lines.get(5).substring(0, 40));
        assertEquals(3, sweep.run(cells, 4, (done, all) -> {}));
        assertEquals(whole, Files.readAllLines(file).stream().sorted().toList());
        assertEquals(0, sweep.run(cells, 1, (done, all) -> {}));
        assertThrows(
                IOException.class,
                () -> new ParameterSweep("other", List.of("[kind k]"), folder.resolve("s"))
                        .run(List.of(), 1, (done, all) -> {}));
        String csv = RunTable.csv(RunTable.read(file));
        assertTrue(
                csv.startsWith("cell,trouble.t.fault,policy,seed,service,")
                        && csv.lines().count() == 9,
                csv);
    }

    /** A value of the grid that can't be is told before any run. */
    @Test
    void aGridIsCheckedWhole() {
        ParameterSweep sweep = new ParameterSweep("small", SMALL, folder.resolve("t"));
        assertThrows(
                SettingsFault.class,
                () -> sweep.run(
                        ParameterSweep.cells(
                                Map.of("trouble.t.fault", List.of("hang", "odd")), List.of("module"), 1, 1),
                        1,
                        (d, a) -> {}));
        assertThrows(
                SettingsFault.class,
                () -> sweep.run(
                        ParameterSweep.cells(Map.of("trouble.u.at", List.of("1")), List.of("module"), 1, 1),
                        1,
                        (d, a) -> {}));
        assertFalse(Files.exists(folder.resolve("t/runs.jsonl")));
    }

    /** A difference that is there is told, one that is not is noise, and few pairs are noise whatever they say. */
    @Test
    void differencesAndNoise() {
        Random r = new Random(1);
        double[] a = new double[30];
        double[] same = new double[30];
        double[] more = new double[30];
        for (int i = 0; i < a.length; i++) {
            a[i] = r.nextDouble();
            same[i] = a[i] + 0.1 * r.nextGaussian();
            more[i] = a[i] + 0.1 + 0.1 * r.nextGaussian();
        }
        PairedComparison none = PairedComparison.of(a, same);
        PairedComparison some = PairedComparison.of(a, more);
        assertTrue(none.noise() && none.low() < 0 && none.high() > 0, none.words());
        assertTrue(
                !some.noise()
                        && some.low() > 0.03
                        && some.high() < 0.17
                        && some.words().endsWith("more"),
                some.words());
        assertEquals(some, PairedComparison.of(a, more), "its resamples have a seed of their own");
        assertTrue(PairedComparison.of(new double[] {0, 0}, new double[] {1, 1}).noise());
        assertThrows(IllegalArgumentException.class, () -> PairedComparison.of(a, new double[2]));
    }

    /** How often the interval of two samples of one kind misses 0: about one in twenty. */
    @Test
    void theIntervalIsHonest() {
        Random r = new Random(2);
        int missed = 0;
        for (int n = 0; n < 200; n++) {
            double[] a = r.doubles(25).toArray();
            double[] b = r.doubles(25).toArray();
            missed += PairedComparison.of(a, b).noise() ? 0 : 1;
        }
        assertTrue(missed >= 3 && missed <= 24, missed + " of 200");
    }

    /** The day that it finds is a scenario, worse than the calm one, and one seed finds the same. */
    @Test
    void aWorstDayIsFoundAndShrunk() throws Exception {
        List<String> calm = SMALL.subList(0, 7);
        WorstDaySearch.Found f = new WorstDaySearch("small", calm, "robin", "oracle", 1, words -> {}).search(60);
        assertTrue(f.gap() > 0.1 && f.played() <= 62, f.toString());
        Scenario plan = ScenarioFile.of("found", f.scenario(), Map.of());
        assertTrue(
                plan.troubles().size() + plan.floods().size() + plan.restarts().size() > 0);
        double robin = ExperimentRun.of(plan, "robin", 1, s -> {}).figures().get("service");
        double oracle = ExperimentRun.of(plan, "oracle", 1, s -> {}).figures().get("service");
        assertEquals(f.gap(), oracle - robin, 1e-9);
        assertEquals(
                f.scenario(),
                new WorstDaySearch("small", calm, "robin", "oracle", 1, words -> {})
                        .search(60)
                        .scenario());
    }

    /** One page that needs nothing else, with what was done to the world on it. */
    @Test
    void theReportStandsAlone() throws Exception {
        Scenario plan = ScenarioFile.of("small", SMALL, Map.of());
        String page = HtmlReport.page(
                plan,
                List.of(ExperimentRun.of(plan, "module", 1, s -> {}), ExperimentRun.of(plan, "robin", 1, s -> {})));
        assertTrue(page.startsWith("<!doctype html>") && page.endsWith("</body></html>\n"));
        assertTrue(page.contains("data:image/png;base64,")
                && page.contains("bank hang")
                && page.contains("robin, seed 1"));
        assertFalse(page.contains("http://") || page.contains("https://"), "nothing is fetched");
    }
}
