package elderseam;

import elderseam.app.ClassArchiveTraining;
import elderseam.app.DispatcherServer;
import elderseam.cli.Commands;
import elderseam.cli.Launcher;
import elderseam.settings.SettingKeys;
import elderseam.settings.SettingsFault;
import elderseam.testkit.TestKitLauncher;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;

/**
 * Entry point: {@code serve} runs a dispatcher, {@code simhost} the same policy on the simulator's protocol; all else is
 * a command of {@link Commands}.
 */
public final class Main {
    private static final int EXIT_FAILED = 1;

    private Main() {}

    /**
     * Runs a command line. {@code simhost} and {@code serve [SETTINGS]} start without the command line's library, which
     * would lengthen a dispatcher's start.
     */
    public static void main(String[] args) throws Exception {
        if (args.length == 1 && args[0].equals("simhost")) {
            TestKitLauncher.runSimulatorHost();
        } else if (args.length == 1 && args[0].equals("serve")) {
            serve(Path.of(SettingKeys.FILE));
        } else if (args.length == 2 && args[0].equals("serve") && !args[1].startsWith("-")) {
            serve(Path.of(args[1]));
        } else {
            System.exit(ProgramLauncher.runCommand(args));
        }
    }

    /** Starts a dispatcher. A fault in the settings or the RELAY variables is printed and ends the process with 1. */
    private static void serve(Path settings) throws IOException {
        try {
            DispatcherServer.serve(System.getenv(), settings);
        } catch (SettingsFault e) {
            e.faults().forEach(System.err::println);
            System.exit(EXIT_FAILED);
        } catch (IOException | IllegalArgumentException e) { // from the RELAY variables, or the files that they name
            String prefix = e instanceof NoSuchFileException ? "no file " : "";
            System.err.println("elderseam: " + prefix + e.getMessage());
            System.exit(EXIT_FAILED);
        }
    }

    /** Apart from {@link Main}, whose verification would otherwise load {@link Launcher} at every start. */
    private static final class ProgramLauncher implements Launcher {
        static int runCommand(String[] args) throws InterruptedException {
            return Commands.run(args, new ProgramLauncher());
        }

        @Override
        public void serve(Path settings) throws IOException {
            Main.serve(settings);
        }

        @Override
        public void runSimulatorHost() throws IOException {
            TestKitLauncher.runSimulatorHost();
        }

        @Override
        public void startAcmeAuthority(InetSocketAddress address, int challengePort) throws IOException {
            TestKitLauncher.startAcmeAuthority(address, challengePort);
        }

        @Override
        public void trainClassArchive() throws Exception {
            ClassArchiveTraining.run();
        }
    }
}
