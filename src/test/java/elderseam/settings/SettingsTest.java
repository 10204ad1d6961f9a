package elderseam.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A settings file is read as a whole, or each of its faults is reported with its place. */
class SettingsTest {
    @TempDir
    Path folder;

    private Settings read(String text) throws Exception {
        return Settings.read(Files.writeString(folder.resolve("s.ini"), text));
    }

    private List<String> faults(String text) {
        return assertThrows(SettingsFault.class, () -> read(text)).faults().stream()
                .map(fault -> fault.substring(folder.toString().length() + 1))
                .toList();
    }

    @Test
    void valuesKnowTheirOrigin() throws Exception {
        Settings settings = read(
                "# a comment\n[events]\nlisten = 127.0.0.1:8080\n\n  webhook_origins = a.example, b.example\n[acme]\n");
        assertEquals("127.0.0.1:8080", settings.get(SettingKeys.EVENTS_LISTEN));
        assertEquals(List.of("a.example", "b.example"), settings.get(SettingKeys.EVENTS_WEBHOOK_ORIGINS));
        assertEquals(3_600L, settings.get(SettingKeys.EVENTS_REMEMBER_S));
        assertEquals(folder.resolve("s.ini") + ":3", settings.origin(SettingKeys.EVENTS_LISTEN));
        assertEquals("default", settings.origin(SettingKeys.EVENTS_REMEMBER_S));
        assertEquals(
                List.of("events.listen", "events.webhook_origins"),
                Settings.none().changedStartKeys(settings));
    }

    /** The faults of form first, then those of values, each in the order of the file. */
    @Test
    void everyFaultIsReported() {
        assertEquals(
                List.of(
                        "s.ini:1: stray: before any section, allowed: below a [section]",
                        "s.ini:5: 'no setting at all' is no setting, allowed: [section], key = value, # comment",
                        "s.ini:6: events.listen: told at line 3 already, allowed: once",
                        "s.ini:3: events.listen: '127.0.0.1' can't be used, allowed: off, or ADDRESS:PORT",
                        "s.ini:4: events.remember_s: '0' can't be used, allowed: 1 to 2592000 seconds",
                        "s.ini:7: events.colour: unknown key, allowed: listen, remember_s, webhook_origins, webhook_rate_per_minute",
                        "s.ini:9: gossipp.listen: unknown section, allowed: events, acme, gossip, rules, discovery, state, shares, fleet, rehearsal"),
                faults(
                        "stray = 1\n[events]\nlisten = 127.0.0.1\nremember_s = 0\nno setting at all\nlisten = off\ncolour = red\n"
                                + "[gossipp]\nlisten = off\n"));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "[acme];directory = http://a/|s.ini:2: acme.directory: is set while events.listen is off",
                "[events];listen = 127.0.0.1:1;[acme];directory = http://a/;challenges = 127.0.0.1:2|s.ini: acme.names: is empty",
                "[events];listen = 127.0.0.1:1;[acme];directory = http://a/;names = a|s.ini: acme.challenges: is off",
                "[events];webhook_rate_per_minute = 5|s.ini:2: events.webhook_rate_per_minute: is set without",
                "[acme];directory = ftp://a/|s.ini:2: acme.directory: 'ftp://a/' can't be used",
                "[events];listen = 127.0.0.1:99999|s.ini:2: events.listen: '127.0.0.1:99999' can't be used",
                "[events];remember_s = 1e3|s.ini:2: events.remember_s: '1e3' can't be used",
                "[events];remember_s = 99999999999999999999|s.ini:2: events.remember_s",
                "[gossip];listen = 127.0.0.1:1|s.ini: gossip.name: is empty",
                "[gossip];listen = localhost:1;name = a;key_file = k;roster = r|s.ini:2: gossip.listen: names a host",
                "[gossip];listen = 0.0.0.0:1;name = a;key_file = k;roster = r|s.ini: gossip.advertise: is empty while",
                "[gossip];name = a b|s.ini:2: gossip.name: 'a b' can't be used",
                "[gossip];most_bytes_per_s = 100|s.ini:2: gossip.most_bytes_per_s: '100' can't be used, allowed: 2000 to",
                "[gossip];seeds = here|s.ini:2: gossip.seeds: 'here' can't be used",
                "[gossip];weigh = yes|s.ini:2: gossip.weigh: 'yes' can't be used",
                "[events];[events]|s.ini:2: section events stands at line 1 already",
                "[ev ents]|s.ini:1: '[ev ents]' is no setting"
            })
    void aFileWithAFaultIsRefused(String lines, String fault) {
        List<String> faults = faults(lines.replace(';', '\n') + "\n");
        assertTrue(faults.get(0).startsWith(fault), faults::toString);
    }

    @Test
    void aFileThatIsNoTextIsRefused() throws Exception {
        Files.write(folder.resolve("s.ini"), new byte[] {'[', (byte) 0xff, ']'});
        assertTrue(assertThrows(SettingsFault.class, () -> Settings.read(folder.resolve("s.ini")))
                .getMessage()
                .endsWith("not UTF-8 text"));
        Files.write(folder.resolve("s.ini"), "#".repeat(2 << 20).getBytes(StandardCharsets.UTF_8));
        assertTrue(assertThrows(SettingsFault.class, () -> Settings.read(folder.resolve("s.ini")))
                .getMessage()
                .contains("a settings file is smaller"));
        assertTrue(assertThrows(SettingsFault.class, () -> Settings.read(folder.resolve("none")))
                .getMessage()
                .endsWith("there is no such file"));
    }

    /** Conflicts are looked for only where a file sets anything. */
    @Test
    void theDefaultsHaveNoConflict() {
        assertEquals(List.of(), SettingConflicts.among(Settings.none()));
    }

    /** The file that ships shows the defaults in its comments, all of them and as they are. */
    @Test
    void theShippedFileShowsTheDefaults() throws Exception {
        List<String> lines = Files.readAllLines(Path.of("deploy/elderseam.ini"));
        Settings shipped = Settings.read(Path.of("deploy/elderseam.ini"));
        for (SettingKey<?> key : SettingKeys.ALL) {
            assertEquals("default", shipped.origin(key));
            assertTrue(lines.contains(("# " + key.name() + " = " + key.defaultText()).stripTrailing()), key.path());
        }
    }
}
