package elderseam;

import elderseam.platform.Config;
import elderseam.sim.Host;
import elderseam.sim.WireException;
import java.io.IOException;
import java.nio.file.Path;

/** Entry point: {@code serve} is one dispatcher, {@code simhost} the same decisions on the simulator's wire. */
public final class Main {
    private Main() {}

    public static void main(String[] args) throws Exception {
        String mode = args.length == 0 ? "" : args[0];
        if (mode.equals("serve") && args.length <= 2) {
            Daemon.serve(System.getenv(), Path.of(args.length > 1 ? args[1] : "deploy/events.properties"));
        } else if (mode.equals("simhost") && args.length == 1) {
            simulate();
        } else if (mode.equals("authority") && args.length == 3) {
            System.err.println("directory at " + Rehearsals.authority(Config.address(args[1]), Integer.parseInt(args[2])));
        } else if (mode.equals("train") && args.length == 1) {
            Training.run();
        } else {
            System.err.println("usage: java -jar elderseam.jar serve [EVENTS-FILE] | simhost"
                    + " | authority ADDRESS CHALLENGE-PORT | train");
            System.exit(2);
        }
    }

    private static void simulate() throws IOException {
        try {
            new Host(System.in, System.out).run();
        } catch (WireException e) {
            System.err.println(e.getMessage());
            System.exit(1);
        }
    }
}
