package elderseam;

import elderseam.acme.Authority;
import elderseam.core.Clock;
import elderseam.http.Io;
import java.io.IOException;
import java.net.InetSocketAddress;

/** What is started for rehearsals alone; apart, so that a dispatcher loads none of it. */
final class Rehearsals {
    private Rehearsals() {}

    /** Starts the stand-in authority; where its directory is. */
    static String authority(InetSocketAddress address, int challengePort) throws IOException {
        return new Authority(new Io(new Clock()), address, challengePort).directory();
    }
}
