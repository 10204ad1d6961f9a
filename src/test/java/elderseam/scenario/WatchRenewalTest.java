package elderseam.scenario;

import static elderseam.scenario.Scenario.play;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Isolated;

/** How soon the watch of discovery goes on. Alone, since other tests on the machine would be measured too. */
@Isolated
class WatchRenewalTest {
    @TempDir
    Path folder;

    /** A watch goes on only if the next call comes within 200 ms of the last answer. */
    @Test
    void theWatchIsRenewedAtOnce() throws Exception {
        play(folder, """
                platform watched 60000
                platform send h3 SERVING
                platform watched 200
                platform send h3 DRAINING
                platform watched 200
                """);
    }
}
