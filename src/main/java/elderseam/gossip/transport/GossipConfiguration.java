package elderseam.gossip.transport;

import elderseam.gossip.security.KeyFile;
import elderseam.gossip.security.Keyring;
import elderseam.gossip.security.Roster;
import elderseam.settings.SettingKeys;
import elderseam.settings.Settings;
import elderseam.settings.SettingsFault;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

/** A member's startup configuration, read from the settings and the files that they name, and checked for consistency. */
public record GossipConfiguration(TransportSettings transport, KeyFile key, Keyring keyring) {
    /**
     * Reads the key file and the roster that the settings name.
     *
     * @throws SettingsFault if a file is faulty, or the roster does not list this member with its key
     * @throws IOException if a file can't be read
     */
    public static GossipConfiguration read(Settings settings) throws IOException {
        KeyFile key = KeyFile.read(Path.of(settings.get(SettingKeys.GOSSIP_KEY_FILE)));
        TransportSettings transport = new TransportSettings(
                settings.get(SettingKeys.GOSSIP_NAME),
                MemberAddresses.parse(settings.get(SettingKeys.GOSSIP_LISTEN)),
                settings.get(SettingKeys.GOSSIP_ADVERTISE),
                settings.get(SettingKeys.GOSSIP_SEEDS),
                settings.get(SettingKeys.GOSSIP_MOST_BYTES_PER_S),
                settings.get(SettingKeys.GOSSIP_MOST_DATAGRAMS_PER_S));
        Roster roster = readRoster(settings, transport.name(), key);
        return new GossipConfiguration(transport, key, new Keyring(key, roster));
    }

    /**
     * Reads the roster that the settings name.
     *
     * @throws SettingsFault if the roster is faulty, or does not list this member with its key
     * @throws IOException if the roster can't be read
     */
    public static Roster readRoster(Settings settings, String self, KeyFile key) throws IOException {
        Path file = Path.of(settings.get(SettingKeys.GOSSIP_ROSTER));
        Roster roster = Roster.read(file);
        Optional<Roster.Entry> entry = roster.find(self);
        if (entry.isEmpty()) {
            throw ownEntryFault(file, self, "not listed");
        }
        if (!entry.get().keyTexts().contains(key.publicKeyText())) {
            throw ownEntryFault(file, self, "listed with another key");
        }
        return roster;
    }

    private static SettingsFault ownEntryFault(Path file, String self, String description) {
        return new SettingsFault(List.of(file + ": " + self + ": " + description
                + ", allowed: a line for this instance with the key of gossip.key_file"));
    }
}
