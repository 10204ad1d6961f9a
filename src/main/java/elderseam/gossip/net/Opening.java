package elderseam.gossip.net;

import elderseam.gossip.trust.KeyFile;
import elderseam.gossip.trust.Keyring;
import elderseam.gossip.trust.Roster;
import elderseam.settings.Keys;
import elderseam.settings.Settings;
import elderseam.settings.SettingsFault;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/** What an instance needs to begin, read from the operator's settings and the files that they name, and checked against each other. */
public record Opening(Post.Place place, KeyFile key, Keyring keys) {
    public static Opening read(Settings s) throws IOException {
        KeyFile key = KeyFile.read(Path.of(s.get(Keys.GOSSIP_KEY_FILE)));
        Post.Place place = new Post.Place(
                s.get(Keys.GOSSIP_NAME),
                Post.address(s.get(Keys.GOSSIP_LISTEN)),
                s.get(Keys.GOSSIP_ADVERTISE),
                s.get(Keys.GOSSIP_SEEDS),
                s.get(Keys.GOSSIP_BYTES),
                s.get(Keys.GOSSIP_DATAGRAMS));
        return new Opening(place, key, new Keyring(key, roster(s, place.name(), key)));
    }

    /** A roster that holds this instance, with the key that it has. */
    public static Roster roster(Settings s, String name, KeyFile key) throws IOException {
        Path file = Path.of(s.get(Keys.GOSSIP_ROSTER));
        Roster roster = Roster.read(file);
        Roster.Entry self = roster.get(name);
        if (self == null || !self.texts().contains(key.text())) {
            throw new SettingsFault(List.of(file + ": " + name + ": " + (self == null ? "not there" : "another key")
                    + ", allowed: a line for this instance with the key of gossip.key_file"));
        }
        return roster;
    }
}
