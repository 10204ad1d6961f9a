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

    /** The lines of {@link #SMALL} up to its trouble. */
    private static final List<String> WITHOUT_TROUBLE = SMALL.subList(0, 7);

    private static final List<String> MODULE = List.of("module");

    @TempDir
    Path folder;

    /** A results file that ends in an incomplete line is continued: each run is there once, with the figures that it had. */
    @Test
    void anInterruptedSweepIsContinued() throws Exception {
        Path sweepFolder = folder.resolve("s");
        ParameterSweep sweep = new ParameterSweep("small", SMALL, sweepFolder);
        List<ParameterSweep.Cell> cells = ParameterSweep.cells(
                Map.of("trouble.t.fault", List.of("hang", "fail")), List.of("module", "robin"), 1, 2);
        assertEquals(8, cells.size());
        int[] lastProgress = new int[2];
        int firstRuns = sweep.run(cells, 4, (done, all) -> {
            lastProgress[0] = done;
            lastProgress[1] = all;
        });
        assertEquals(8, firstRuns);
        assertEquals(8, lastProgress[0]);

        Path results = sweepFolder.resolve("runs.jsonl");
        List<String> lines = Files.readAllLines(results);
        List<String> sortedLines = lines.stream().sorted().toList();
        String completeLines = String.join("\n", lines.subList(0, 5)) + "\n";
        String incompleteLine = lines.get(5).substring(0, 40);
        Files.writeString(results, completeLines + incompleteLine);

        assertEquals(3, sweep.run(cells, 4, (done, all) -> {}));
        assertEquals(sortedLines, Files.readAllLines(results).stream().sorted().toList());
        assertEquals(0, sweep.run(cells, 1, (done, all) -> {}));

        ParameterSweep otherScenario = new ParameterSweep("other", List.of("[kind k]"), sweepFolder);
        assertThrows(IOException.class, () -> otherScenario.run(List.of(), 1, (done, all) -> {}));

        String csv = RunTable.csv(RunTable.read(results));
        assertTrue(csv.startsWith("cell,trouble.t.fault,policy,seed,service,"), csv);
        assertEquals(9, csv.lines().count(), csv);
    }

    /** An invalid value anywhere in the grid is reported before any run. */
    @Test
    void theWholeGridIsCheckedBeforeAnyRun() {
        ParameterSweep sweep = new ParameterSweep("small", SMALL, folder.resolve("t"));
        List<ParameterSweep.Cell> unknownFault =
                ParameterSweep.cells(Map.of("trouble.t.fault", List.of("hang", "odd")), MODULE, 1, 1);
        assertThrows(SettingsFault.class, () -> sweep.run(unknownFault, 1, (done, all) -> {}));
        List<ParameterSweep.Cell> unknownSection =
                ParameterSweep.cells(Map.of("trouble.u.at", List.of("1")), MODULE, 1, 1);
        assertThrows(SettingsFault.class, () -> sweep.run(unknownSection, 1, (done, all) -> {}));
        assertFalse(Files.exists(folder.resolve("t/runs.jsonl")));
    }

    /** A real difference is reported, chance is noise, and few pairs are noise whatever they show. */
    @Test
    void realDifferencesAreToldFromNoise() {
        Random random = new Random(1);
        double[] base = new double[30];
        double[] same = new double[30];
        double[] more = new double[30];
        for (int i = 0; i < base.length; i++) {
            base[i] = random.nextDouble();
            same[i] = base[i] + 0.1 * random.nextGaussian();
            more[i] = base[i] + 0.1 + 0.1 * random.nextGaussian();
        }
        PairedComparison chance = PairedComparison.of(base, same);
        assertTrue(chance.isNoise(), chance.format());
        assertTrue(chance.low() < 0 && chance.high() > 0, chance.format());

        PairedComparison real = PairedComparison.of(base, more);
        assertFalse(real.isNoise(), real.format());
        assertTrue(real.low() > 0.03 && real.high() < 0.17, real.format());
        assertTrue(real.format().endsWith("more"), real.format());
        assertEquals(real, PairedComparison.of(base, more), "the resampling has a fixed seed");

        assertEquals(real, PairedComparison.of(reversed(base), reversed(more)), "whatever the order of the runs");
        PairedComparison twoPairs = PairedComparison.of(new double[] {0, 0}, new double[] {1, 1});
        assertTrue(twoPairs.isNoise());
        assertThrows(IllegalArgumentException.class, () -> PairedComparison.of(base, new double[2]));
    }

    /** The interval of two samples of one distribution misses 0 about once in twenty times. */
    @Test
    void theIntervalCoversAboutNineteenInTwenty() {
        Random random = new Random(2);
        int missed = 0;
        for (int i = 0; i < 200; i++) {
            double[] a = random.doubles(25).toArray();
            double[] b = random.doubles(25).toArray();
            if (!PairedComparison.of(a, b).isNoise()) {
                missed++;
            }
        }
        assertTrue(missed >= 3 && missed <= 24, missed + " of 200");
    }

    /** The result is a valid scenario, worse than the calm one, and the same for the same seed. */
    @Test
    void theWorstDayIsFoundAndReduced() throws Exception {
        WorstDaySearch.Found found = searchWorstDay();
        assertTrue(found.gap() > 0.1 && found.played() <= 62, found.toString());
        Scenario scenario = ScenarioFile.of("found", found.scenario(), Map.of());
        int parts = scenario.troubles().size()
                + scenario.floods().size()
                + scenario.restarts().size();
        assertTrue(parts > 0);
        double robin = run(scenario, "robin").figures().get("service");
        double oracle = run(scenario, "oracle").figures().get("service");
        assertEquals(found.gap(), oracle - robin, 1e-9);
        assertEquals(found.scenario(), searchWorstDay().scenario());
    }

    private static WorstDaySearch.Found searchWorstDay() throws SettingsFault {
        return new WorstDaySearch("small", WITHOUT_TROUBLE, "robin", "oracle", 1, line -> {}).search(60);
    }

    private static ExperimentRun run(Scenario scenario, String policy) {
        return ExperimentRun.of(scenario, policy, 1, seconds -> {});
    }

    /** The report is one page that loads nothing, and shows what was done to the world. */
    @Test
    void theReportIsSelfContained() throws Exception {
        Scenario scenario = ScenarioFile.of("small", SMALL, Map.of());
        String page = HtmlReport.page(scenario, List.of(run(scenario, "module"), run(scenario, "robin")));
        assertTrue(page.startsWith("<!doctype html>"));
        assertTrue(page.endsWith("</body></html>\n"));
        assertTrue(page.contains("data:image/png;base64,"));
        assertTrue(page.contains("bank hang"));
        assertTrue(page.contains("robin, seed 1"));
        assertFalse(page.contains("http://") || page.contains("https://"), "nothing is loaded");
    }

    private static double[] reversed(double[] values) {
        double[] reversed = new double[values.length];
        for (int i = 0; i < values.length; i++) {
            reversed[i] = values[values.length - 1 - i];
        }
        return reversed;
    }
}
