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
 * The members that may take part in gossip, with their addresses and keys. Immutable; a changed file is read into another
 * roster.
 */
public final class Roster {
    /**
     * One member.
     *
     * @param ranges the addresses that it may send from and listen on
     * @param keys one, or two while a key is replaced: the new key is added to every roster before the member uses it
     */
    public record Entry(String name, List<IPAddress> ranges, List<PublicKey> keys) {
        /** Returns the key with that id, or null if the member has none; called for each packet. */
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

        /** Returns the keys as the file has them. */
        public List<String> keyTexts() {
            return keys.stream().map(Ed25519::text).toList();
        }
    }

    private final Map<String, Entry> byName;

    /** The map is the roster's own from now on. */
    Roster(Map<String, Entry> byName) {
        this.byName = Collections.unmodifiableMap(byName);
    }

    /**
     * Reads a roster: a line for each member, {@code NAME CIDR[,CIDR...] KEY [KEY]}.
     *
     * @throws SettingsFault with all faults of the file
     * @throws IOException if it can't be read
     */
    public static Roster read(Path file) throws IOException {
        return new RosterParser(file).parse();
    }

    /** Returns all members in the order of the file. */
    public Collection<Entry> all() {
        return byName.values();
    }

    /** Returns the member of that name; empty if it is not on the roster. */
    public Optional<Entry> find(String name) {
        return Optional.ofNullable(byName.get(name));
    }

    /** The same without an allocation, for each packet: null if it is not on the roster. */
    Entry get(String name) {
        return byName.get(name);
    }
}
