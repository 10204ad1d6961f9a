package elderseam.gossip.security;

import elderseam.gossip.PacketCodec;
import elderseam.settings.Settings;
import elderseam.settings.SettingsFault;
import inet.ipaddr.AddressStringException;
import inet.ipaddr.IPAddress;
import inet.ipaddr.IPAddressNetwork;
import inet.ipaddr.IPAddressString;
import java.io.IOException;
import java.net.InetAddress;
import java.nio.file.Path;
import java.security.PublicKey;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Who may speak: a line for each member, {@code NAME CIDR[,CIDR...] KEY [KEY]}. Two keys are for a rotation: the new one is
 * put beside the old one everywhere before the member uses it. Taken without a fault or not at all; 1,024 members at most.
 */
public final class Roster {
    private static final int MOST = 1_024, MOST_RANGES = 16;

    /** One member: the addresses that it may speak from, and its keys. */
    public record Entry(String name, List<IPAddress> ranges, List<PublicKey> keys) {
        PublicKey key(int number) {
            for (PublicKey k : keys) {
                if (Ed25519.number(k) == number) {
                    return k;
                }
            }
            return null;
        }

        boolean mayBeAt(IPAddress address) {
            return address != null && ranges.stream().anyMatch(r -> r.contains(address));
        }

        /** Its keys as the file has them. */
        public List<String> texts() {
            return keys.stream().map(Ed25519::text).toList();
        }
    }

    private static final IPAddressNetwork.IPAddressGenerator ADDRESSES = new IPAddressNetwork.IPAddressGenerator();

    private final Map<String, Entry> entries = new LinkedHashMap<>();

    private Roster() {}

    /** Reads one; every fault is told. */
    public static Roster read(Path file) throws IOException {
        List<String> lines = Settings.lines(file, "a roster");
        Roster roster = new Roster();
        Map<String, String> keyOf = new LinkedHashMap<>();
        List<String> faults = new ArrayList<>();
        for (int i = 0; i < lines.size(); i++) {
            String line = lines.get(i).strip();
            if (!line.isEmpty() && !line.startsWith("#")) {
                String fault = roster.add(line.split("\\s+"), keyOf);
                if (fault != null) {
                    faults.add(file + ":" + (i + 1) + ": " + fault);
                }
            }
        }
        if (roster.entries.size() > MOST) {
            faults.add(file + ": " + roster.entries.size() + " members, allowed: " + MOST);
        }
        if (!faults.isEmpty()) {
            throw new SettingsFault(faults);
        }
        return roster;
    }

    /** What is wrong with a line, or null. */
    private String add(String[] words, Map<String, String> keyOf) {
        if (words.length < 3 || words.length > 4) {
            return words.length + " words, allowed: NAME CIDR[,CIDR...] KEY [KEY]";
        }
        if (!PacketCodec.isName(words[0])) {
            return "'" + words[0] + "' is no name, allowed: 1 to 64 of A-Z a-z 0-9 . _ -";
        }
        String fault = rangesFault(words[1]);
        if (fault != null) {
            return words[0] + ": " + fault;
        }
        List<IPAddress> ranges = new ArrayList<>();
        for (String text : words[1].split(",")) {
            ranges.add(range(text));
        }
        List<PublicKey> keys = new ArrayList<>();
        for (int i = 2; i < words.length; i++) {
            PublicKey key = Ed25519.read(words[i]);
            if (key == null) {
                return words[0] + ": '" + words[i]
                        + "' is no key, allowed: 32 bytes in base64, as `keys new` tells them";
            }
            String other = keyOf.putIfAbsent(Ed25519.text(key), words[0]);
            if (other != null) {
                return words[0] + ": its key is told of " + other + " already, allowed: a key for each";
            }
            keys.add(key);
        }
        if (keys.size() == 2 && Ed25519.number(keys.get(0)) == Ed25519.number(keys.get(1))) {
            return words[0] + ": its two keys have one number, allowed: another key";
        }
        return entries.putIfAbsent(words[0], new Entry(words[0], List.copyOf(ranges), List.copyOf(keys))) == null
                ? null
                : words[0] + ": told already, allowed: once";
    }

    /** What is wrong with ranges apart by commas, or null. */
    public static String rangesFault(String text) {
        String[] parts = text.split(",", -1);
        for (String part : parts) {
            if (range(part) == null) {
                return "'" + part + "' is no range, allowed: ADDRESS or ADDRESS/BITS, its host bits 0";
            }
        }
        return parts.length > MOST_RANGES ? parts.length + " ranges, allowed: " + MOST_RANGES : null;
    }

    private static IPAddress range(String text) {
        try {
            if (!text.matches("[0-9a-fA-F.:]+(/\\d{1,3})?")) {
                return null;
            }
            IPAddress a = new IPAddressString(text).toAddress();
            if (a == null || (a.isPrefixed() && !a.isPrefixBlock())) { // with host bits: most likely a slip
                return null;
            }
            return a;
        } catch (AddressStringException | RuntimeException e) {
            return null;
        }
    }

    static IPAddress address(InetAddress address) {
        return ADDRESSES.from(address);
    }

    public Collection<Entry> all() {
        return entries.values();
    }

    public Entry get(String name) {
        return entries.get(name);
    }
}
