package elderseam.testkit;

import elderseam.core.Clock;
import elderseam.http.IoLoop;
import elderseam.testkit.acme.StandInAuthority;
import elderseam.testkit.simulator.SimulatorHost;
import elderseam.testkit.simulator.WireException;
import java.io.IOException;
import java.net.InetSocketAddress;

/** What is started for rehearsals alone; apart, so that a dispatcher loads none of it. */
public final class TestKitLauncher {
    private TestKitLauncher() {}

    /** The same decisions on the simulator's wire. */
    public static void simulate() throws IOException {
        try {
            new SimulatorHost(System.in, System.out).run();
        } catch (WireException e) {
            System.err.println(e.getMessage());
            System.exit(1);
        }
    }

    /** Starts the stand-in authority and tells where its directory is. */
    public static void authority(InetSocketAddress address, int challengePort) throws IOException {
        String directory = new StandInAuthority(new IoLoop(new Clock()), address, challengePort).directory();
        System.err.println("directory at " + directory);
    }
}
