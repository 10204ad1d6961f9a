package elderseam.core;

import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** The deduplication keys of the messages in the journal, and the schemes that they come from. */
final class JournalKeys {
    /** What a scheme counts of the journal's capacity besides its text, in bytes. */
    private static final int SCHEME_OVERHEAD_BYTES = 64;

    private static final char SCHEME_SEPARATOR = ':';
    private static final String NO_SCHEME = "";

    private final Map<String, String> keysById = new HashMap<>();
    private final Map<String, String> idsByKey = new HashMap<>();
    private final Map<String, byte[]> schemes = new LinkedHashMap<>();
    private String currentScheme = NO_SCHEME;

    /** Sets the key of a message; an empty one is none. An earlier message with that key was rejected. */
    void put(String id, String key) {
        if (!key.isEmpty()) {
            keysById.put(id, key);
            idsByKey.put(key, id);
        }
    }

    /** The key of a message. */
    Optional<String> keyOf(String id) {
        return Optional.ofNullable(keysById.get(id));
    }

    /** The last message with that key. */
    Optional<String> idOf(String key) {
        return Optional.ofNullable(idsByKey.get(key));
    }

    /** Forgets a message. */
    void remove(String id) {
        String key = keysById.remove(id);
        if (key != null) {
            idsByKey.remove(key, id);
        }
    }

    /** Whether that scheme is known with that text. */
    boolean hasScheme(String name, byte[] text) {
        return Arrays.equals(schemes.get(name), text);
    }

    /** Sets the scheme of the keys that come from now on; it stands last. */
    void setCurrentScheme(String name, byte[] text) {
        schemes.remove(name);
        schemes.put(name, text);
        currentScheme = name;
    }

    /** No scheme is current any more. */
    void clearCurrentScheme() {
        currentScheme = NO_SCHEME;
    }

    /** The schemes that are in use, the current one last; forgets the others. */
    Map<String, byte[]> schemes() {
        schemes.keySet().removeIf(name -> !name.equals(currentScheme) && !isUsed(name));
        return new LinkedHashMap<>(schemes);
    }

    private boolean isUsed(String scheme) {
        String prefix = scheme + SCHEME_SEPARATOR;
        return idsByKey.keySet().stream().anyMatch(key -> key.startsWith(prefix));
    }

    /** What the schemes count of the journal's capacity. */
    long schemeBytes() {
        return schemes.values().stream()
                .mapToLong(text -> text.length + SCHEME_OVERHEAD_BYTES)
                .sum();
    }
}
