package elderseam.cli;

import java.net.InetSocketAddress;
import java.nio.file.Path;

/** Starts the parts of the program that are not commands. Passed in by the entry point, so that commands know none of them. */
public interface Launcher {
    /**
     * Starts a dispatcher, whose threads hold the process.
     *
     * @param settings the operator's settings file
     * @throws Exception if it can't start
     */
    void serve(Path settings) throws Exception;

    /**
     * Runs the policy on the simulator's protocol, over standard input and output, until the simulator ends it.
     *
     * @throws Exception if the streams fail
     */
    void runSimulatorHost() throws Exception;

    /**
     * Starts the stand-in ACME authority, whose threads hold the process.
     *
     * @param address where it listens
     * @param challengePort where it looks for the answers to its challenges
     * @throws Exception if it can't start
     */
    void startAcmeAuthority(InetSocketAddress address, int challengePort) throws Exception;

    /**
     * Starts the short run on the loopback from which the build dumps the class-data archive.
     *
     * @throws Exception if it can't start
     */
    void trainClassArchive() throws Exception;
}
