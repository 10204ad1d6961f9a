package elderseam.fleet.config;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Map;
import java.util.TreeMap;

/**
 * One version: its number, which only rises; the one that it was made from; who proposed it, why, and what it holds, text by name.
 * {@code effectMs}: when it takes effect, in the table's time; 0 for one that is not committed. Its hash is SHA-256 of the names
 * and texts, in hex.
 */
public record ConfigurationVersion(
        @JsonProperty("number") long number,
        @JsonProperty("parent") long parent,
        @JsonProperty("author") String author,
        @JsonProperty("note") String note,
        @JsonProperty("texts") Map<String, String> texts,
        @JsonProperty("hash") String hash,
        @JsonProperty("effectMs") long effectMs) {
    /** What a fleet acts on before any version was agreed on: each member's own files. */
    public static final ConfigurationVersion NONE =
            new ConfigurationVersion(0, 0, "", "each member's own files", Map.of(), hash(Map.of()), 0);

    public ConfigurationVersion {
        texts = Map.copyOf(texts);
    }

    static ConfigurationVersion of(long number, long parent, String author, String note, Map<String, String> texts) {
        return new ConfigurationVersion(number, parent, author, note, texts, hash(texts), 0);
    }

    ConfigurationVersion effective(long atMs) {
        return new ConfigurationVersion(number, parent, author, note, texts, hash, atMs);
    }

    /** In hex; the lengths are in it, so that no two contents share it by moving a boundary. */
    public static String hash(Map<String, String> texts) {
        try {
            MessageDigest sha = MessageDigest.getInstance("SHA-256");
            new TreeMap<>(texts).forEach((name, text) -> {
                for (String s : new String[] {name, text}) {
                    byte[] bytes = s.getBytes(StandardCharsets.UTF_8);
                    sha.update((bytes.length + ":").getBytes(StandardCharsets.US_ASCII));
                    sha.update(bytes);
                }
            });
            return HexFormat.of().formatHex(sha.digest());
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every JDK has SHA-256", e);
        }
    }

    /** The characters of its texts. */
    static int size(Map<String, String> texts) {
        return texts.entrySet().stream()
                .mapToInt(e -> e.getKey().length() + e.getValue().length())
                .sum();
    }
}
