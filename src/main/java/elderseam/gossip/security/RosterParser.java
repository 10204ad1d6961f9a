package elderseam.gossip.security;

import elderseam.gossip.MemberNames;
import elderseam.settings.Settings;
import elderseam.settings.SettingsFault;
import java.io.IOException;
import java.nio.file.Path;
import java.security.PublicKey;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Parses a roster file into a {@link Roster}, and collects all faults of the file before it fails. */
final class RosterParser {
    private static final int MAX_MEMBERS = 1_024;
    private static final int MIN_FIELDS = 3;
    private static final int MAX_FIELDS = 4;
    private static final int FIRST_KEY_FIELD = 2;

    /** A fault in one line; the message describes it. */
    private static final class LineFault extends Exception {
        private static final long serialVersionUID = 1;

        LineFault(String description) {
            super(description);
        }
    }

    private final Path file;
    private final Map<String, Roster.Entry> byName = new LinkedHashMap<>();
    private final Map<String, String> memberByKey = new LinkedHashMap<>();
    private final List<String> faults = new ArrayList<>();

    RosterParser(Path file) {
        this.file = file;
    }

    Roster parse() throws IOException {
        List<String> lines = Settings.lines(file, "a roster");
        for (int i = 0; i < lines.size(); i++) {
            String line = lines.get(i).strip();
            if (!line.isEmpty() && !line.startsWith("#")) {
                parseLine(line, i + 1);
            }
        }
        if (byName.size() > MAX_MEMBERS) {
            faults.add(file + ": " + byName.size() + " members, allowed: " + MAX_MEMBERS);
        }
        if (!faults.isEmpty()) {
            throw new SettingsFault(faults);
        }
        return new Roster(byName);
    }

    private void parseLine(String line, int lineNumber) {
        try {
            Roster.Entry entry = parseEntry(line.split("\\s+"));
            if (byName.putIfAbsent(entry.name(), entry) != null) {
                throw new LineFault(entry.name() + ": listed more than once, allowed: one line for each member");
            }
        } catch (LineFault e) {
            faults.add(file + ":" + lineNumber + ": " + e.getMessage());
        }
    }

    private Roster.Entry parseEntry(String[] fields) throws LineFault {
        if (fields.length < MIN_FIELDS || fields.length > MAX_FIELDS) {
            throw new LineFault(fields.length + " fields, allowed: NAME CIDR[,CIDR...] KEY [KEY]");
        }
        String name = fields[0];
        String ranges = fields[1];
        if (!MemberNames.isValid(name)) {
            throw new LineFault("'" + name + "' is not a valid name, allowed: 1 to 64 of A-Z a-z 0-9 . _ -");
        }
        Optional<String> rangesFault = AddressRanges.findFault(ranges);
        if (rangesFault.isPresent()) {
            throw new LineFault(name + ": " + rangesFault.get());
        }
        return new Roster.Entry(name, AddressRanges.parse(ranges), parseKeys(name, fields));
    }

    private List<PublicKey> parseKeys(String name, String[] fields) throws LineFault {
        List<PublicKey> keys = new ArrayList<>();
        for (int i = FIRST_KEY_FIELD; i < fields.length; i++) {
            keys.add(parseKey(name, fields[i]));
        }
        if (keys.size() == 2 && Ed25519.keyId(keys.get(0)) == Ed25519.keyId(keys.get(1))) {
            throw new LineFault(name + ": both keys have the same key id, allowed: keys with different ids");
        }
        return List.copyOf(keys);
    }

    private PublicKey parseKey(String name, String text) throws LineFault {
        PublicKey key = Ed25519.parsePublicKey(text)
                .orElseThrow(() -> new LineFault(name + ": '" + text
                        + "' is not a valid public key, allowed: 32 bytes in base64, as printed by `keys new`"));
        String otherMember = memberByKey.putIfAbsent(Ed25519.formatPublicKey(key), name);
        if (otherMember != null) {
            throw new LineFault(name + ": key is already listed for " + otherMember
                    + ", allowed: a key of its own for each member");
        }
        return key;
    }
}
