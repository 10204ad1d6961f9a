package cases;

import elderseam.core.Clock;
import elderseam.http.IoLoop;
import elderseam.testkit.acme.StandInAuthority;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;

/** The test kit's stand-in ACME authority in a process of its own: {@code Authority PORT CHALLENGE-PORT VALID-S}. */
public final class Authority {
    private Authority() {}

    public static void main(String[] words) throws Exception {
        InetSocketAddress address = new InetSocketAddress(InetAddress.getByName("127.0.0.1"), Integer.parseInt(words[0]));
        Duration valid = Duration.ofSeconds(Long.parseLong(words[2]));
        // valid from as long before the order as after it, so that a third of all its time is left two thirds on
        StandInAuthority authority =
                new StandInAuthority(new IoLoop(new Clock()), address, Integer.parseInt(words[1]), valid, valid);
        System.out.println(authority.directory());
        Thread.sleep(Duration.ofMinutes(3).toMillis());
        System.exit(0);
    }
}
