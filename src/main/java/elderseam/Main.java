package elderseam;

import elderseam.app.ClassArchiveTraining;
import elderseam.app.DispatcherServer;
import elderseam.settings.SettingKeys;
import elderseam.settings.SettingsFault;
import elderseam.testkit.TestKitLauncher;
import java.io.IOException;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;

/** Entry point: {@code serve} is one dispatcher, {@code simhost} the same decisions on the simulator's wire. */
public final class Main {
    private Main() {}

    /** The two lines of the deploy file go straight to their work: the command line's library would cost them a start. */
    public static void main(String[] args) throws Exception {
        if (args.length == 1 && args[0].equals("simhost")) {
            TestKitLauncher.runSimulatorHost();
        } else if (args.length >= 1
                && args.length <= 2
                && args[0].equals("serve")
                && (args.length == 1 || !args[1].startsWith("-"))) {
            serve(Path.of(args.length > 1 ? args[1] : SettingKeys.FILE));
        } else {
            System.exit(elderseam.cli.Commands.run(
                    args,
                    Main::serve,
                    TestKitLauncher::runSimulatorHost,
                    TestKitLauncher::startAcmeAuthority,
                    ClassArchiveTraining::run));
        }
    }

    /** A fault of settings or configuration is told in plain words, a line each, and ends the start with 1. */
    static void serve(Path settings) throws IOException {
        try {
            DispatcherServer.serve(System.getenv(), settings);
        } catch (SettingsFault e) {
            e.faults().forEach(System.err::println);
            System.exit(1);
        } catch (IOException | IllegalArgumentException e) { // of the RELAY variables, or what they name
            System.err.println("elderseam: " + (e instanceof NoSuchFileException ? "no file " : "") + e.getMessage());
            System.exit(1);
        }
    }
}
