package elderseam.cli;

import elderseam.testkit.faults.FleetMeasurements;
import elderseam.testkit.faults.LeaseTestRun;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The fleet rig: processes of this program on loopback, faults between them, and checkers of what happened. */
@Command(
        name = "fleet",
        mixinStandardHelpOptions = true,
        versionProvider = Commands.Version.class,
        description = "Rehearsals of a fleet: real processes with faults between them.",
        subcommands = {FleetCommand.Test.class, FleetCommand.Figures.class})
final class FleetCommand extends Commands.Group {
    @Command(
            name = "test",
            mixinStandardHelpOptions = true,
            versionProvider = Commands.Version.class,
            description =
                    "Plays rounds of faults and checks the whole history; exits with 0 only where no checker found a violation.")
    static final class Test implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

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
        private String plant;

        @Option(
                names = "--folder",
                paramLabel = "DIR",
                description = "where histories, logs and the members' folders are left; a temporary one unless told")
        private Path folder;

        @Option(names = "--schedule", description = "tells the faults of each round, and plays nothing")
        private boolean schedule;

        @Option(
                names = "--json",
                paramLabel = "FILE",
                description = "writes figures and violations there, one JSON object")
        private Path json;

        @Override
        public Integer call() throws IOException {
            if (rounds < 1 || rounds > 100_000) {
                throw new ParameterException(spec.commandLine(), "--rounds: " + rounds + ", allowed: 1 to 100000");
            }
            if (members != 0 && (members < 2 || members > 16)) {
                throw new ParameterException(spec.commandLine(), "--members: " + members + ", allowed: 2 to 16, or 0");
            }
            if (plant != null && !LeaseTestRun.PLANTS.contains(plant)) {
                throw new ParameterException(
                        spec.commandLine(),
                        "--plant: '" + plant + "', allowed: " + String.join(", ", LeaseTestRun.PLANTS));
            }
            if (folder != null && Files.exists(folder.resolve("rig.jsonl"))) {
                throw new ParameterException(
                        spec.commandLine(),
                        "--folder: " + folder + " holds a history already, allowed: an empty or new folder");
            }
            PrintWriter out = spec.commandLine().getOut();
            Path at = folder != null || schedule ? folder : Files.createTempDirectory("elderseam-fleet");
            LeaseTestRun.Terms terms = new LeaseTestRun.Terms(scenario, rounds, seed, plant, at, members);
            if (schedule) {
                LeaseTestRun.schedule(terms).forEach(out::println);
                return 0;
            }
            LeaseTestRun.Result result = LeaseTestRun.run(terms, line -> {
                out.println(line);
                out.flush();
            });
            if (json != null) {
                Files.writeString(json, result.json() + "\n");
            }
            result.figures().forEach((name, value) -> out.println(name + "=" + value));
            out.println("history in " + at);
            out.println("violations: " + result.violations().size());
            out.flush();
            System.exit(result.violations().isEmpty() ? 0 : 1); // the stand-ins' threads would hold the process
            return 0;
        }
    }

    @Command(
            name = "figures",
            mixinStandardHelpOptions = true,
            versionProvider = Commands.Version.class,
            description =
                    "What leases and the one watch of discovery cost and save: the same processes off and on, in one run.")
    static final class Figures implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Option(names = "--members", defaultValue = "3", description = "2 to 16 (${DEFAULT-VALUE})")
        private int members;

        @Override
        public Integer call() throws IOException {
            if (members < 2 || members > 16) {
                throw new ParameterException(spec.commandLine(), "--members: " + members + ", allowed: 2 to 16");
            }
            PrintWriter out = spec.commandLine().getOut();
            FleetMeasurements.measure(members, Files.createTempDirectory("elderseam-fleet"))
                    .forEach((name, value) -> out.println(name + "=" + value));
            out.flush();
            System.exit(0); // the stand-ins' threads would hold the process
            return 0;
        }
    }
}
