package elderseam.core;

import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/** The keys by which an operator's rules tell messages apart, as the journal knows them, and the schemes that they come from. */
final class JournalKeys {
    private final Map<String, String> byId = new HashMap<>(), bySame = new HashMap<>();
    private final Map<String, byte[]> schemes = new LinkedHashMap<>();
    private String current = "";

    /** {@code same} may be empty: then it has none. */
    void put(String id, String same) {
        if (!same.isEmpty()) {
            byId.put(id, same);
            bySame.put(same, id); // an earlier one was refused
        }
    }

    /** The key of a message, or null. */
    String of(String id) {
        return byId.get(id);
    }

    /** The last message with that key, or null. */
    String id(String same) {
        return bySame.get(same);
    }

    void remove(String id) {
        String same = byId.remove(id);
        if (same != null) {
            bySame.remove(same, id);
        }
    }

    boolean has(String scheme, byte[] text) {
        return Arrays.equals(schemes.get(scheme), text);
    }

    /** The scheme of keys that come from now on; it stands last. */
    void current(String scheme, byte[] text) {
        schemes.remove(scheme);
        schemes.put(scheme, text);
        current = scheme;
    }

    void none() {
        current = "";
    }

    /** The schemes that count, the present one last: others are forgotten. */
    Map<String, byte[]> schemes() {
        schemes.keySet()
                .removeIf(s ->
                        !s.equals(current) && bySame.keySet().stream().noneMatch(same -> same.startsWith(s + ":")));
        return new LinkedHashMap<>(schemes);
    }

    /** Bytes that the schemes take of the file. */
    long weight() {
        return schemes.values().stream().mapToLong(t -> t.length + 64).sum();
    }
}
