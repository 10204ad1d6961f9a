package elderseam.cli;

import elderseam.settings.SettingKeys;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.ParentCommand;

/** The commands that start a part of the program through the {@link Launcher}. */
final class LaunchCommands {
    private LaunchCommands() {}

    @Command(name = "serve", description = "One dispatcher; reads the RELAY variables.")
    static final class Serve extends CommandBase {
        @ParentCommand
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
            parent.launcher().serve(settings);
            return ExitCodes.KEEPS_RUNNING;
        }
    }

    @Command(name = "simhost", description = "The same decisions on the simulator's wire, standard input and output.")
    static final class SimulatorHost extends CommandBase {
        @ParentCommand
        private Commands parent;

        @Override
        public Integer call() throws Exception {
            parent.launcher().runSimulatorHost();
            return ExitCodes.OK;
        }
    }

    @Command(name = "authority", description = "A stand-in ACME authority for rehearsals.")
    static final class AcmeAuthority extends CommandBase {
        private static final int MAX_PORT = 65_535;

        @ParentCommand
        private Commands parent;

        @Parameters(index = "0", paramLabel = "ADDRESS:PORT", description = "where it listens")
        private String address;

        @Parameters(index = "1", paramLabel = "CHALLENGE-PORT", description = "the port at which names are looked up")
        private int challengePort;

        @Override
        public Integer call() throws Exception {
            int colon = address.lastIndexOf(':');
            boolean hasPort = colon >= 1 && address.substring(colon + 1).matches("\\d{1,5}");
            if (!hasPort || challengePort < 0 || challengePort > MAX_PORT) {
                throw usageFault("'" + address + " " + challengePort + "' is no ADDRESS:PORT and PORT");
            }
            int port = Integer.parseInt(address.substring(colon + 1));
            InetSocketAddress listen = new InetSocketAddress(address.substring(0, colon), port);
            parent.launcher().startAcmeAuthority(listen, challengePort);
            return ExitCodes.KEEPS_RUNNING;
        }
    }

    @Command(
            name = "train",
            description = "A short life on the loopback, by which the build makes the class-data archive.")
    static final class Train extends CommandBase {
        @ParentCommand
        private Commands parent;

        @Override
        public Integer call() throws Exception {
            parent.launcher().trainClassArchive();
            return ExitCodes.KEEPS_RUNNING;
        }
    }
}
