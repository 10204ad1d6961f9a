package elderseam.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;

import elderseam.FreePorts;
import elderseam.acme.AcmeTestSupport;
import elderseam.core.Clock;
import elderseam.http.IoLoop;
import elderseam.testkit.acme.StandInAuthority;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The program itself gets its certificate from the stand-in authority, and delivers an event that came over TLS. */
class SecureEventsTest {
    @TempDir
    Path folder;

    @Test
    void anEventOverTls() throws Exception {
        int port = FreePorts.next();
        StandInAuthority authority = new StandInAuthority(
                new IoLoop(new Clock()), new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), port);
        try (Scenario s = new Scenario(folder)) {
            s.launcher()
                    .setSettingsLines("[acme]\ndirectory = " + authority.directory() + "\nnames = localhost\nfolder = "
                            + folder.resolve("certificates") + "\nchallenges = 127.0.0.1:" + port + "\n");
            s.start();
            String at = s.eventsAddress();
            CompletableFuture<HttpResponse<String>> answer = AcmeTestSupport.trustingClient(authority)
                    .sendAsync(
                            HttpRequest.newBuilder(
                                            URI.create("https://localhost" + at.substring(at.indexOf(':')) + "/events"))
                                    .header("ce-specversion", "1.0")
                                    .header("ce-type", "rent-payment")
                                    .header("ce-source", "/a")
                                    .header("ce-id", "1")
                                    .header("ce-destination", "1")
                                    .header("Content-Type", "text/plain")
                                    .POST(HttpRequest.BodyPublishers.ofString("100 NAD"))
                                    .build(),
                            HttpResponse.BodyHandlers.ofString());
            s.run("""
                    h1 expect ce-id: 1; 100 NAD
                    h1 send 200
                    """);
            assertEquals(200, answer.get(20, TimeUnit.SECONDS).statusCode());
        }
    }
}
