package elderseam.cli;

import elderseam.settings.Settings;
import elderseam.testkit.lab.WorstDaySearch;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code lab find}: the search for a policy's worst day. */
@Command(
        name = "find",
        description =
                "Searches for the day on which a policy does worst against another, and writes it as a scenario, shrunk.")
final class LabFindCommand extends LabCommandBase {
    @Parameters(
            index = "0",
            paramLabel = "SCENARIO",
            description = "fleet, kinds and clients, to which the day is added")
    private Path file;

    @Parameters(index = "1", paramLabel = "FOUND", description = "where the day is written")
    private Path foundFile;

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
        List<String> scenario = Settings.lines(file, "a scenario");
        requirePolicies(List.of(policy, against));
        WorstDaySearch search = new WorstDaySearch(file.toString(), scenario, policy, against, seed, err()::println);
        WorstDaySearch.Found found = search.search(days);
        Files.write(foundFile, found.scenario());
        out().printf(
                        Locale.ROOT,
                        "%s: gap %.4f (%s %.4f, %s %.4f), %d days played%n",
                        foundFile,
                        found.gap(),
                        policy,
                        found.policy(),
                        against,
                        found.against(),
                        found.played());
        return ExitCodes.OK;
    }
}
