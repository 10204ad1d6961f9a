package elderseam.wiring;

import elderseam.acme.Authority;
import elderseam.core.Clock;
import elderseam.http.Io;
import elderseam.sim.Host;
import elderseam.sim.WireException;
import java.io.IOException;
import java.net.InetSocketAddress;

/** What is started for rehearsals alone; apart, so that a dispatcher loads none of it. */
public final class Rehearsals {
    private Rehearsals() {}

    /** The same decisions on the simulator's wire. */
    public static void simulate() throws IOException {
        try {
            new Host(System.in, System.out).run();
        } catch (WireException e) {
            System.err.println(e.getMessage());
            System.exit(1);
        }
    }

    /** Starts the stand-in authority and tells where its directory is. */
    public static void authority(InetSocketAddress address, int challengePort) throws IOException {
        String directory = new Authority(new Io(new Clock()), address, challengePort).directory();
        System.err.println("directory at " + directory);
    }
}
