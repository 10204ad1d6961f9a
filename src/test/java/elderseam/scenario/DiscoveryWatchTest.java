package elderseam.scenario;

import static elderseam.scenario.Scenario.play;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * The watch of discovery, by the standing page's clock: what a silent watch misses counts as told 6 s after it fell silent (or 2 s
 * after its wait is over), so a new one has to be open before. ReloadTest has its move, PlatformTest its renewal.
 */
class DiscoveryWatchTest {
    private static final String TO = "X-Org: erongo-lettings; X-Addressing: dest=1; X-Remaining: 20000m;";

    @TempDir
    Path folder;

    /** A watch is never answered: the next is there in time, at once and not after a pause, and brings what was missed. */
    @Test
    void aSilentWatchIsOpenedAnewInTime() throws Exception {
        play(folder, """
                platform watched 60000
                platform send h2 DRAINING
                platform watched 60000
                platform send mute
                platform send h3 SERVING
                platform watched 5700
                operator wait INFO -> hosts_listed=3
                """);
    }

    /** Silent again and again, as long as it lasts: each is given up and opened anew, with no pause between that grows. */
    @Test
    void oneSilenceAfterAnotherIsNoFailure() throws Exception {
        play(folder, """
                platform watched 60000
                platform send h2 DRAINING
                platform watched 60000
                platform send mute
                platform watched 5700
                platform send mute
                platform watched 11400
                platform send h3 SERVING
                operator wait INFO -> hosts_listed=3
                """);
    }

    /** A connection that notices have left idle may be as silent: the next watch is on a new one. */
    @Test
    void theNextWatchIsOnANewConnection() throws Exception {
        try (Scenario s = new Scenario(folder)) {
            s.launcher()
                    .setSettings(DispatcherLauncher.defaultSettings()
                            .replaceFirst("\"connIdleNs\":\\d+", "\"connIdleNs\":30000000000"));
            s.start();
            s.run("""
                    platform watched 60000
                    platform send h2 DRAINING
                    platform watched 60000
                    c send POST /rent-payment; {to} X-Txn: pay
                    c expect 202
                    h1 expect X-Txn: pay
                    h1 send 500
                    platform expect pay
                    platform linked 3
                    platform send mute
                    platform watched 5700
                    platform linked 4
                    """.replace("{to}", TO));
        }
    }

    /** Refused while discovery is down, the list in use stays, and once it is back the watch is, within what may be missed. */
    @Test
    void refusedWatchesComeBackWithDiscovery() throws Exception {
        play(folder, """
                platform watched 60000
                platform close
                c send POST /status-update; {to} X-Txn: a
                c expect 202
                h1 expect X-Txn: a
                h1 send 200
                platform start
                platform send h3 SERVING
                platform watched 6000
                operator wait INFO -> hosts_listed=3
                """.replace("{to}", TO));
    }
}
