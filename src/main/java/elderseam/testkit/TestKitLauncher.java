package elderseam.testkit;

import elderseam.core.Clock;
import elderseam.http.IoLoop;
import elderseam.testkit.acme.StandInAuthority;
import elderseam.testkit.simulator.SimulatorHost;
import elderseam.testkit.simulator.WireException;
import java.io.IOException;
import java.net.InetSocketAddress;

/** Starts what exists for tests and rehearsals alone. Apart from the server, so that a dispatcher loads none of it. */
public final class TestKitLauncher {
    private TestKitLauncher() {}

    /**
     * Runs the policy on the simulator's protocol, over standard input and output, until the simulator ends it. A fault of the
     * protocol ends the process with 1.
     *
     * @throws IOException if standard input or output fails
     */
    public static void runSimulatorHost() throws IOException {
        try {
            new SimulatorHost(System.in, System.out).run();
        } catch (WireException e) {
            System.err.println(e.getMessage());
            System.exit(1);
        }
    }

    /**
     * Starts the stand-in ACME authority on threads of its own, and prints where its directory is.
     *
     * @param address where it listens
     * @param challengePort where it looks for the answers to its challenges
     * @throws IOException if the address can't be used
     */
    public static void startAcmeAuthority(InetSocketAddress address, int challengePort) throws IOException {
        String directory = new StandInAuthority(new IoLoop(new Clock()), address, challengePort).directory();
        System.err.println("directory at " + directory);
    }
}
