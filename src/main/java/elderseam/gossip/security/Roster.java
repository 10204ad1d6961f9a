package elderseam.gossip.security;

import elderseam.settings.SettingsFault;
import inet.ipaddr.IPAddress;
import java.io.IOException;
import java.nio.file.Path;
import java.security.PublicKey;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The members that may take part in gossip, with their addresses and public keys. Immutable; a changed file is read
 * into a new roster.
 */
public final class Roster {
    /**
     * One member of the roster.
     *
     * @param ranges the addresses that the member may send from and listen on
     * @param keys one key, or two during key rotation: the new key is added to every roster before the member uses it
     */
    public record Entry(String name, List<IPAddress> ranges, List<PublicKey> keys) {
        /** Returns the key with the given id, or null if the member has none; called for each packet. */
        PublicKey findKey(int keyId) {
            for (PublicKey key : keys) {
                if (Ed25519.keyId(key) == keyId) {
                    return key;
                }
            }
            return null;
        }

        /** Whether the member may use the address. */
        boolean isAddressAllowed(IPAddress address) {
            for (IPAddress range : ranges) {
                if (range.contains(address)) {
                    return true;
                }
            }
            return false;
        }

        /** Returns the keys in the text form that the file uses. */
        public List<String> keyTexts() {
            return keys.stream().map(Ed25519::formatPublicKey).toList();
        }
    }

    private final Map<String, Entry> byName;

    /** Takes ownership of the map; the caller must not change it afterwards. */
    Roster(Map<String, Entry> byName) {
        this.byName = Collections.unmodifiableMap(byName);
    }

    /**
     * Reads a roster file with one line for each member: {@code NAME CIDR[,CIDR...] KEY [KEY]}.
     *
     * @throws SettingsFault with all faults of the file
     * @throws IOException if the file can't be read
     */
    public static Roster read(Path file) throws IOException {
        return new RosterParser(file).parse();
    }

    /** Returns all members in the order of the file. */
    public Collection<Entry> all() {
        return byName.values();
    }

    /** Returns the member with the given name; empty if it is not on the roster. */
    public Optional<Entry> find(String name) {
        return Optional.ofNullable(byName.get(name));
    }

    /**
     * Like {@link #find}, but returns null for an unknown member; called for each packet, so it avoids an allocation.
     */
    Entry get(String name) {
        return byName.get(name);
    }
}
