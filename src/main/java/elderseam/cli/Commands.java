package elderseam.cli;

import elderseam.core.JsonValue;
import elderseam.settings.SettingKey;
import elderseam.settings.SettingKeys;
import elderseam.settings.Settings;
import elderseam.settings.SettingsFault;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Every command. Exit codes: 0, 1 for what failed or is faulty, 2 for a usage fault. */
@Command(
        name = "elderseam",
        mixinStandardHelpOptions = true,
        versionProvider = Commands.Version.class,
        description = "A dispatcher that delivers messages to partners, and its test and rehearsal kit.",
        subcommands = {
            Commands.Serve.class,
            Commands.SimHost.class,
            Commands.AuthorityCommand.class,
            Commands.Train.class,
            Commands.ConfigCommand.class,
            KeysCommand.class,
            GossipCommand.class,
            RulesCommand.class,
            LabCommand.class,
            FleetCommand.class
        })
public final class Commands implements Callable<Integer> {
    /** Something that the wiring starts. */
    public interface Start {
        void run() throws Exception;
    }

    /** The same, with a file. */
    public interface StartWith {
        void run(Path file) throws Exception;
    }

    /** The same, with an address and a port. */
    public interface StartAt {
        void run(InetSocketAddress address, int port) throws Exception;
    }

    /** A command that starts something stays: its threads hold the process, and its exit code is theirs. */
    private static final int STAYS = -1;

    @Spec
    private CommandSpec spec;

    private final StartWith serve;
    private final Start simulate, train;
    private final StartAt authority;

    private Commands(StartWith serve, Start simulate, StartAt authority, Start train) {
        this.serve = serve;
        this.simulate = simulate;
        this.authority = authority;
        this.train = train;
    }

    /** Runs a command; the exit code, or never where the command goes on. */
    public static int run(String[] args, StartWith serve, Start simulate, StartAt authority, Start train)
            throws InterruptedException {
        int code = new CommandLine(new Commands(serve, simulate, authority, train))
                .setParameterExceptionHandler((e, words) -> {
                    CommandLine line = e.getCommandLine();
                    line.getErr().println(line.getCommandName() + ": " + e.getMessage());
                    line.usage(line.getErr());
                    return 2;
                })
                .setExecutionExceptionHandler((e, line, parsed) -> {
                    if (e instanceof SettingsFault fault) {
                        fault.faults().forEach(line.getErr()::println);
                    } else {
                        line.getErr()
                                .println(line.getCommandName() + ": " + (e.getMessage() == null ? e : e.getMessage()));
                    }
                    return 1;
                })
                .execute(args);
        if (code == STAYS) {
            Thread.currentThread().join();
        }
        return code;
    }

    @Override
    public Integer call() {
        throw new ParameterException(spec.commandLine(), "a command is missing");
    }

    /** The version that the build wrote into the jar. */
    static final class Version implements CommandLine.IVersionProvider {
        @Override
        public String[] getVersion() {
            String version = Commands.class.getPackage().getImplementationVersion();
            return new String[] {
                "elderseam " + (version == null ? "(not from a jar)" : version) + ", Java " + Runtime.version()
            };
        }
    }

    @Command(
            name = "serve",
            mixinStandardHelpOptions = true,
            versionProvider = Version.class,
            description = "One dispatcher; reads the RELAY variables.")
    static final class Serve implements Callable<Integer> {
        @CommandLine.ParentCommand
        private Commands parent;

        @Parameters(
                index = "0",
                arity = "0..1",
                paramLabel = "SETTINGS",
                defaultValue = SettingKeys.FILE,
                description = "the operator's settings (${DEFAULT-VALUE})")
        private Path settings;

        @Override
        public Integer call() throws Exception {
            parent.serve.run(settings);
            return STAYS;
        }
    }

    @Command(
            name = "simhost",
            mixinStandardHelpOptions = true,
            versionProvider = Version.class,
            description = "The same decisions on the simulator's wire, standard input and output.")
    static final class SimHost implements Callable<Integer> {
        @CommandLine.ParentCommand
        private Commands parent;

        @Override
        public Integer call() throws Exception {
            parent.simulate.run();
            return 0;
        }
    }

    @Command(
            name = "authority",
            mixinStandardHelpOptions = true,
            versionProvider = Version.class,
            description = "A stand-in ACME authority for rehearsals.")
    static final class AuthorityCommand implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @CommandLine.ParentCommand
        private Commands parent;

        @Parameters(index = "0", paramLabel = "ADDRESS:PORT", description = "where it listens")
        private String address;

        @Parameters(index = "1", paramLabel = "CHALLENGE-PORT", description = "the port at which names are looked up")
        private int port;

        @Override
        public Integer call() throws Exception {
            int colon = address.lastIndexOf(':');
            if (colon < 1 || !address.substring(colon + 1).matches("\\d{1,5}") || port < 0 || port > 65_535) {
                throw new ParameterException(
                        spec.commandLine(), "'" + address + " " + port + "' is no ADDRESS:PORT and PORT");
            }
            parent.authority.run(
                    new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                    port);
            return STAYS;
        }
    }

    @Command(
            name = "train",
            mixinStandardHelpOptions = true,
            versionProvider = Version.class,
            description = "A short life on the loopback, by which the build makes the class-data archive.")
    static final class Train implements Callable<Integer> {
        @CommandLine.ParentCommand
        private Commands parent;

        @Override
        public Integer call() throws Exception {
            parent.train.run();
            return STAYS;
        }
    }

    /** A command that only holds others. */
    abstract static class Group implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() {
            throw new ParameterException(
                    spec.commandLine(),
                    "a command is missing: "
                            + String.join(" or ", spec.subcommands().keySet()));
        }
    }

    @Command(
            name = "config",
            mixinStandardHelpOptions = true,
            versionProvider = Version.class,
            description = "What the operator's settings say, and the versions that a fleet agrees on.",
            subcommands = {
                Check.class,
                Show.class,
                VersionsCommand.Propose.class,
                VersionsCommand.Status.class,
                VersionsCommand.Diff.class,
                VersionsCommand.Rollback.class
            })
    static final class ConfigCommand extends Group {}

    @Command(
            name = "check",
            mixinStandardHelpOptions = true,
            versionProvider = Version.class,
            description = "Tells every fault of a settings file, a line each; exits with 1 where there is one.")
    static final class Check implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Parameters(index = "0", paramLabel = "FILE")
        private Path file;

        @Override
        public Integer call() throws IOException {
            Settings.read(file, SettingKeys.ALL, SettingKeys.CONTRADICTIONS);
            spec.commandLine().getOut().println(file + ": no fault");
            return 0;
        }
    }

    @Command(
            name = "show",
            mixinStandardHelpOptions = true,
            versionProvider = Version.class,
            description = "The values that count, where each comes from, and whether SIGHUP changes it.")
    static final class Show implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Parameters(
                index = "0",
                arity = "0..1",
                paramLabel = "FILE",
                defaultValue = SettingKeys.FILE,
                description = "the operator's settings (${DEFAULT-VALUE})")
        private Path file;

        @Option(names = "--json", description = "one JSON object for each key")
        private boolean json;

        @Override
        public Integer call() throws IOException {
            boolean given = spec.commandLine().getParseResult().hasMatchedPositional(0);
            Settings s = !given && !Files.exists(file)
                    ? Settings.none()
                    : Settings.read(file, SettingKeys.ALL, SettingKeys.CONTRADICTIONS);
            PrintWriter out = spec.commandLine().getOut();
            for (SettingKey<?> k : SettingKeys.ALL) {
                if (json) {
                    out.printf(
                            "{\"key\":%s,\"value\":%s,\"from\":%s,\"live\":%s}%n",
                            JsonValue.quote(k.path()),
                            JsonValue.quote(s.text(k)),
                            JsonValue.quote(s.origin(k)),
                            k.live());
                } else {
                    out.printf(
                            "%-34s %-24s %-30s %s%n",
                            k.path(),
                            s.text(k).isEmpty() ? "(empty)" : s.text(k),
                            s.origin(k),
                            k.live() ? "live" : "from the next start");
                }
            }
            return 0;
        }
    }
}
