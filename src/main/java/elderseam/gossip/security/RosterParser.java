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

/** Reads one file as a {@link Roster}, and collects every fault of it. */
final class RosterParser {
    private static final int MAX_MEMBERS = 1_024;
    private static final int MIN_WORDS = 3;
    private static final int MAX_WORDS = 4;
    private static final int FIRST_KEY_WORD = 2;

    /** What is wrong with a line. */
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
                throw new LineFault(entry.name() + ": told already, allowed: once");
            }
        } catch (LineFault e) {
            faults.add(file + ":" + lineNumber + ": " + e.getMessage());
        }
    }

    private Roster.Entry parseEntry(String[] words) throws LineFault {
        if (words.length < MIN_WORDS || words.length > MAX_WORDS) {
            throw new LineFault(words.length + " words, allowed: NAME CIDR[,CIDR...] KEY [KEY]");
        }
        String name = words[0];
        String ranges = words[1];
        if (!MemberNames.isValid(name)) {
            throw new LineFault("'" + name + "' is no name, allowed: 1 to 64 of A-Z a-z 0-9 . _ -");
        }
        Optional<String> rangesFault = AddressRanges.findFault(ranges);
        if (rangesFault.isPresent()) {
            throw new LineFault(name + ": " + rangesFault.get());
        }
        return new Roster.Entry(name, AddressRanges.parse(ranges), parseKeys(name, words));
    }

    private List<PublicKey> parseKeys(String name, String[] words) throws LineFault {
        List<PublicKey> keys = new ArrayList<>();
        for (int i = FIRST_KEY_WORD; i < words.length; i++) {
            keys.add(parseKey(name, words[i]));
        }
        if (keys.size() == 2 && Ed25519.keyId(keys.get(0)) == Ed25519.keyId(keys.get(1))) {
            throw new LineFault(name + ": its two keys have one number, allowed: another key");
        }
        return List.copyOf(keys);
    }

    private PublicKey parseKey(String name, String text) throws LineFault {
        PublicKey key = Ed25519.parsePublicKey(text)
                .orElseThrow(() -> new LineFault(
                        name + ": '" + text + "' is no key, allowed: 32 bytes in base64, as `keys new` tells them"));
        String otherMember = memberByKey.putIfAbsent(Ed25519.text(key), name);
        if (otherMember != null) {
            throw new LineFault(name + ": its key is told of " + otherMember + " already, allowed: a key for each");
        }
        return key;
    }
}
