package elderseam.cli;

import elderseam.testkit.lab.PairedComparison;
import elderseam.testkit.lab.RunTable;
import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code lab compare}: two sides of a sweep, run by run. */
@Command(
        name = "compare",
        description =
                "Paired differences over seeds of two policies (or of two folders), with intervals of 95%%, and which of them are noise.")
final class LabCompareCommand extends LabCommandBase {
    @Parameters(index = "0", paramLabel = "A", description = "FOLDER, or FOLDER:POLICY")
    private String sideA;

    @Parameters(index = "1", paramLabel = "B")
    private String sideB;

    @Option(
            names = "--figure",
            split = ",",
            defaultValue = "service,worst_10s,refused,failed,calls,failed_calls,once_p99_ms",
            description = "(${DEFAULT-VALUE})")
    private List<String> figures;

    @Override
    public Integer call() throws IOException {
        Map<String, RunTable.Row> rowsA = rowsByRun(sideA);
        Map<String, RunTable.Row> rowsB = rowsByRun(sideB);
        List<String> commonRuns =
                rowsA.keySet().stream().filter(rowsB::containsKey).toList();
        if (commonRuns.isEmpty()) {
            throw new IOException(sideA + " and " + sideB
                    + ": no run in common, allowed: the same scenario values and seeds on both sides");
        }
        out().printf("%-22s %12s %12s %12s  %s%n", commonRuns.size() + " pairs", "A", "B", "B - A", "95%");
        for (String figure : figures) {
            PairedComparison comparison =
                    PairedComparison.of(values(rowsA, commonRuns, figure), values(rowsB, commonRuns, figure));
            out().printf("%-22s %s%n", figure, comparison.format());
        }
        return ExitCodes.OK;
    }

    private static double[] values(Map<String, RunTable.Row> rows, List<String> runs, String figure) {
        return runs.stream().mapToDouble(run -> rows.get(run).number(figure)).toArray();
    }

    /** The rows of a side by what both sides must share: the scenario's values and the seed, without the policy. */
    private static Map<String, RunTable.Row> rowsByRun(String side) throws IOException {
        int colon = side.lastIndexOf(':');
        String policy = colon > 0 ? side.substring(colon + 1) : "";
        Path folder = Path.of(colon > 0 ? side.substring(0, colon) : side);
        Map<String, RunTable.Row> rows = new LinkedHashMap<>();
        for (RunTable.Row row : RunTable.read(folder.resolve("runs.jsonl"))) {
            String rowPolicy = row.text("policy");
            if (policy.isEmpty() || rowPolicy.equals(policy)) {
                rows.put(row.text("cell").replace(" " + rowPolicy + " ", " "), row);
            }
        }
        return rows;
    }
}
