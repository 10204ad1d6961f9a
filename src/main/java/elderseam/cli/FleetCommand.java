package elderseam.cli;

import elderseam.testkit.faults.FleetMeasurements;
import elderseam.testkit.faults.LeaseTestRun;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code fleet}: tests of a fleet of real processes on loopback. */
@Command(
        name = "fleet",
        description = "Rehearsals of a fleet: real processes with faults between them.",
        subcommands = {FleetCommand.Test.class, FleetCommand.Figures.class})
final class FleetCommand extends CommandGroup {
    private static final int MIN_MEMBERS = 2;
    private static final int MAX_MEMBERS = 16;
    private static final String TEMPORARY_FOLDER = "elderseam-fleet";

    @Command(
            name = "test",
            description =
                    "Plays rounds of faults and checks the whole history; exits with 0 only where no checker found a violation.")
    static final class Test extends CommandBase {
        private static final int MAX_ROUNDS = 100_000;
        private static final int MEMBERS_OF_SCENARIO = 0;
        private static final String HISTORY_FILE = "rig.jsonl";

        @Option(
                names = "--scenario",
                defaultValue = "leases",
                paramLabel = "FILE|leases|versions",
                description = "a file with faults, or leases or versions under random faults (${DEFAULT-VALUE})")
        private String scenario;

        @Option(names = "--rounds", defaultValue = "20", description = "1 to 100000 (${DEFAULT-VALUE})")
        private int rounds;

        @Option(
                names = "--seed",
                defaultValue = "1",
                description = "of the random faults; one seed gives one schedule (${DEFAULT-VALUE})")
        private long seed;

        @Option(
                names = "--members",
                defaultValue = "0",
                description = "2 to 16, or 0 for as many as the scenario says (${DEFAULT-VALUE})")
        private int members;

        @Option(
                names = "--plant",
                paramLabel = "NAME",
                description =
                        "a fault that a checker must find: no-margin, no-fence, no-heal, gossip, gossip-majority, no-confirm or at-commit")
        private String plantedFault;

        @Option(
                names = "--folder",
                paramLabel = "DIR",
                description = "where histories, logs and the members' folders are left; a temporary one unless told")
        private Path folder;

        @Option(names = "--schedule", description = "tells the faults of each round, and plays nothing")
        private boolean scheduleOnly;

        @Option(
                names = "--json",
                paramLabel = "FILE",
                description = "writes figures and violations there, one JSON object")
        private Path json;

        @Override
        public Integer call() throws IOException {
            checkOptions();
            if (scheduleOnly) {
                LeaseTestRun.schedule(terms(folder)).forEach(out()::println);
                return ExitCodes.OK;
            }
            Path usedFolder = folder != null ? folder : Files.createTempDirectory(TEMPORARY_FOLDER);
            LeaseTestRun.Result result = LeaseTestRun.run(terms(usedFolder), this::printAtOnce);
            if (json != null) {
                Files.writeString(json, result.json() + "\n");
            }
            print(result, usedFolder);
            System.exit(
                    result.violations().isEmpty() ? ExitCodes.OK : ExitCodes.FAILED); // threads of the test kit run on
            return ExitCodes.OK;
        }

        private void checkOptions() {
            requireRange("--rounds", rounds, 1, MAX_ROUNDS);
            if (members != MEMBERS_OF_SCENARIO && (members < MIN_MEMBERS || members > MAX_MEMBERS)) {
                throw usageFault("--members: " + members + ", allowed: 2 to 16, or 0");
            }
            if (plantedFault != null && !LeaseTestRun.PLANTS.contains(plantedFault)) {
                throw usageFault("--plant: '" + plantedFault + "', allowed: " + String.join(", ", LeaseTestRun.PLANTS));
            }
            if (folder != null && Files.exists(folder.resolve(HISTORY_FILE))) {
                throw usageFault("--folder: " + folder + " holds a history already, allowed: an empty or new folder");
            }
        }

        private LeaseTestRun.Terms terms(Path usedFolder) {
            return new LeaseTestRun.Terms(scenario, rounds, seed, plantedFault, usedFolder, members);
        }

        private void printAtOnce(String line) {
            out().println(line);
            out().flush();
        }

        private void print(LeaseTestRun.Result result, Path usedFolder) {
            result.figures().forEach((name, value) -> out().println(name + "=" + value));
            out().println("history in " + usedFolder);
            out().println("violations: " + result.violations().size());
            out().flush();
        }
    }

    @Command(
            name = "figures",
            description =
                    "What leases and the one watch of discovery cost and save: the same processes off and on, in one run.")
    static final class Figures extends CommandBase {
        @Option(names = "--members", defaultValue = "3", description = "2 to 16 (${DEFAULT-VALUE})")
        private int members;

        @Override
        public Integer call() throws IOException {
            requireRange("--members", members, MIN_MEMBERS, MAX_MEMBERS);
            FleetMeasurements.measure(members, Files.createTempDirectory(TEMPORARY_FOLDER))
                    .forEach((name, value) -> out().println(name + "=" + value));
            out().flush();
            System.exit(ExitCodes.OK); // threads of the test kit run on
            return ExitCodes.OK;
        }
    }
}
