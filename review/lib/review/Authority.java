package review;

import elderseam.core.Clock;
import elderseam.http.IoLoop;
import elderseam.testkit.acme.StandInAuthority;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Base64;

/**
 * The project's stand-in ACME authority in a process of its own, with certificates of a short validity: {@code Authority
 * PORT CHALLENGE-PORT SECONDS-BEFORE SECONDS-AFTER ROOT-FILE}.
 */
public final class Authority {
    private Authority() {}

    public static void main(String[] words) throws Exception {
        StandInAuthority authority = new StandInAuthority(
                new IoLoop(new Clock()),
                new InetSocketAddress("127.0.0.1", Integer.parseInt(words[0])),
                Integer.parseInt(words[1]),
                Duration.ofSeconds(Long.parseLong(words[2])),
                Duration.ofSeconds(Long.parseLong(words[3])));
        Path written = Path.of(words[4] + ".new");
        Files.writeString(
                written,
                "-----BEGIN CERTIFICATE-----\n"
                        + Base64.getMimeEncoder().encodeToString(authority.root().getEncoded())
                        + "\n-----END CERTIFICATE-----\n");
        Files.move(written, Path.of(words[4]));
        Thread.sleep(Long.MAX_VALUE);
    }
}
