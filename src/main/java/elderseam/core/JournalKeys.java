package elderseam.core;

import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The deduplication keys of the messages in the journal, and the schemes that the keys are computed with. Confined to
 * the event-loop thread.
 */
final class JournalKeys {
    /** Capacity that a scheme is counted with in addition to its text, in bytes. */
    private static final int SCHEME_OVERHEAD_BYTES = 64;

    private static final char SCHEME_SEPARATOR = ':';
    private static final String NO_SCHEME = "";

    private final Map<String, String> keysById = new HashMap<>();
    private final Map<String, String> idsByKey = new HashMap<>();
    private final Map<String, byte[]> schemes = new LinkedHashMap<>();
    private String currentScheme = NO_SCHEME;

    /**
     * Sets the key of a message; an empty key means none. Replaces an earlier message with the same key, which was
     * rejected.
     */
    void put(String id, String key) {
        if (!key.isEmpty()) {
            keysById.put(id, key);
            idsByKey.put(key, id);
        }
    }

    /** The key of a message, if it has one. */
    Optional<String> keyOf(String id) {
        return Optional.ofNullable(keysById.get(id));
    }

    /** The id of the last message with the given key. */
    Optional<String> idOf(String key) {
        return Optional.ofNullable(idsByKey.get(key));
    }

    /** Removes a message and its key. */
    void remove(String id) {
        String key = keysById.remove(id);
        if (key != null) {
            idsByKey.remove(key, id);
        }
    }

    /** Whether the scheme is stored with the given text. */
    boolean hasScheme(String name, byte[] text) {
        return Arrays.equals(schemes.get(name), text);
    }

    /** Sets the scheme that new keys are computed with, and moves it to the end of the schemes. */
    void setCurrentScheme(String name, byte[] text) {
        schemes.remove(name);
        schemes.put(name, text);
        currentScheme = name;
    }

    /** Unsets the current scheme. */
    void clearCurrentScheme() {
        currentScheme = NO_SCHEME;
    }

    /** The texts by name of the schemes in use, the current one last. Removes the schemes that are no longer used. */
    Map<String, byte[]> schemes() {
        schemes.keySet().removeIf(name -> !name.equals(currentScheme) && !isUsed(name));
        return new LinkedHashMap<>(schemes);
    }

    private boolean isUsed(String scheme) {
        String prefix = scheme + SCHEME_SEPARATOR;
        return idsByKey.keySet().stream().anyMatch(key -> key.startsWith(prefix));
    }

    /** The capacity that the schemes are counted with, in bytes. */
    long schemeBytes() {
        return schemes.values().stream()
                .mapToLong(text -> text.length + SCHEME_OVERHEAD_BYTES)
                .sum();
    }
}
