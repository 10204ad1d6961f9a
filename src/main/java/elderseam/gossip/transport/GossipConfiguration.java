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

/** What an instance needs to begin, read from the operator's settings and the files that they name, and checked against each other. */
public record GossipConfiguration(GossipTransport.Place place, KeyFile key, Keyring keys) {
    public static GossipConfiguration read(Settings s) throws IOException {
        KeyFile key = KeyFile.read(Path.of(s.get(SettingKeys.GOSSIP_KEY_FILE)));
        GossipTransport.Place place = new GossipTransport.Place(
                s.get(SettingKeys.GOSSIP_NAME),
                GossipTransport.address(s.get(SettingKeys.GOSSIP_LISTEN)),
                s.get(SettingKeys.GOSSIP_ADVERTISE),
                s.get(SettingKeys.GOSSIP_SEEDS),
                s.get(SettingKeys.GOSSIP_MOST_BYTES_PER_S),
                s.get(SettingKeys.GOSSIP_MOST_DATAGRAMS_PER_S));
        return new GossipConfiguration(place, key, new Keyring(key, roster(s, place.name(), key)));
    }

    /** A roster that holds this instance, with the key that it has. */
    public static Roster roster(Settings s, String name, KeyFile key) throws IOException {
        Path file = Path.of(s.get(SettingKeys.GOSSIP_ROSTER));
        Roster roster = Roster.read(file);
        Roster.Entry self = roster.get(name);
        if (self == null || !self.texts().contains(key.text())) {
            throw new SettingsFault(List.of(file + ": " + name + ": " + (self == null ? "not there" : "another key")
                    + ", allowed: a line for this instance with the key of gossip.key_file"));
        }
        return roster;
    }
}
