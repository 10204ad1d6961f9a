package elderseam.scenario;

import static elderseam.scenario.Scenario.play;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Isolated;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A new configuration under load: SIGHUP. Without a handler the process ends. */
@Isolated(
        "its limits are of one dispatcher: starts of other classes' processes beside it stall the I/O thread for seconds")
class ReloadTest {
    private static final String TO = "X-Org: erongo-lettings; X-Addressing: dest=1; X-Remaining: 9000m;";

    @TempDir
    Path folder;

    /** Discovery and owed notices move at once, though the old place stays silent; connections and calls go on. */
    @Test
    void discoveryMoves() throws Exception {
        play(folder, """
                platform watched 60000
                platform deaf 100000
                c send POST /rent-payment; {to} X-Txn: pay
                c expect 202
                h1 expect pay
                h1 close
                c2 send POST /status-update; X-Addressing: dest=2; X-Remaining: 9000m; X-Txn: held
                c2 expect 202
                h2 expect held
                platform wait quiet 200
                platform move
                platform deaf 0
                relay hangup
                relay wait reload
                platform watched 3800
                platform expect pay; undeliverable
                platform send h3 SERVING
                operator wait INFO -> hosts_listed=3
                h1 close all
                c send POST /status-update; {to} X-Txn: say
                c expect 202
                h3 expect say
                h3 send 200
                h2 send 200
                h2 wait quiet 200
                """.replace("{to}", TO));
    }

    /** Under nohup no handler is given the signal: a new file counts as one, and what is owed does not stay at the old place. */
    @Test
    void aNewFileCountsWhereTheSignalIsIgnored() throws Exception {
        try (Scenario s = new Scenario(folder)) {
            s.launcher().ignoreHangUps();
            s.start();
            s.run("""
                    platform watched 60000
                    platform deaf 100000
                    c send POST /rent-payment; {to} X-Txn: pay
                    c expect 202
                    h1 expect pay
                    h1 close
                    platform move
                    platform deaf 0
                    relay hangup
                    relay wait reload
                    platform expect pay; undeliverable
                    """.replace("{to}", TO));
        }
    }

    /** The new place's versions are its own: where its first answer fails, its whole list is asked for again. */
    @Test
    void theNewPlaceIsAskedForAllUntilItAnswers() throws Exception {
        play(folder, """
                platform watched 60000
                platform send h2 SERVING
                platform watched 60000
                platform send h2 DRAINING
                platform watched 60000
                platform send h2 SERVING
                platform watched 60000
                platform move
                platform send mute
                relay hangup
                relay wait reload
                platform send h1 DRAINING
                platform send h3 SERVING
                operator wait INFO -> hosts_listed=3
                c send POST /status-update; {to} X-Txn: say
                c expect 202
                h3 expect say
                h3 send 200
                """.replace("{to}", TO));
    }

    /** The settings file is read again too: a fault of it leaves all as it was, RELAY_CONFIG's news with it. */
    @Test
    void aFaultOfTheSettingsChangesNothing() throws Exception {
        try (Scenario s = new Scenario(folder)) {
            s.start();
            Files.writeString(folder.resolve("elderseam.ini"), "[events]\nremember_s = never\n[nonsense]\na = b\n");
            s.run("""
                    platform watched 60000
                    relay hangup
                    relay expect reload.rejected fault="{folder}/elderseam.ini:2: events.remember_s: 'never' can't be used
                    relay expect reload.rejected fault="{folder}/elderseam.ini:4: nonsense.a: unknown section
                    platform send h3 SERVING
                    platform watched 200
                    c send POST /rent-payment; {to} X-Txn: pay
                    c expect 202
                    """.replace("{to}", TO).replace("{folder}", folder.toString()));
        }
    }

    /** What can't change live is named, and waits. */
    @Test
    void whatWaitsForTheNextStartIsNamed() throws Exception {
        try (Scenario s = new Scenario(folder)) {
            s.start();
            Files.writeString(
                    folder.resolve("elderseam.ini"),
                    "[events]\nlisten = off\nremember_s = 60\n[gossip]\nmost_bytes_per_s = 5000\n");
            s.run("relay hangup\nrelay expect reload.applied needs_restart=events.listen\n");
        }
    }

    /** A half-written file, or one without an address, leaves everything as it was. */
    @ParameterizedTest
    @ValueSource(strings = {"{\"name\":\"n1\",\"discovery\":\"127.0.0.1:", "{\"discovery\":\"nowhere\"}"})
    void anUnusableFileChangesNothing(String words) throws Exception {
        play(folder, """
                platform watched 60000
                relay hangup {words}
                relay wait kept
                platform send h3 SERVING
                platform watched 200
                c send POST /rent-payment; {to} X-Txn: pay
                c expect 202
                """.replace("{to}", TO).replace("{words}", words));
    }
}
