package elderseam.fleet.config;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * One version of the configuration that all members of a fleet agree on. Immutable.
 *
 * @param number increases with each proposal
 * @param parent the number of the version on which this one is based
 * @param author the member to which the version was proposed
 * @param note the reason given for the proposal
 * @param fileContents the contents of the version's files by file name, see {@link VersionContent}
 * @param hash the SHA-256 of {@code fileContents} in hexadecimal, see {@link #hash(Map)}
 * @param effectiveAtMs when the version takes effect, in milliseconds of table time; 0 until it is committed
 */
public record ConfigurationVersion(
        @JsonProperty("number") long number,
        @JsonProperty("parent") long parent,
        @JsonProperty("author") String author,
        @JsonProperty("note") String note,
        @JsonProperty("texts") Map<String, String> fileContents,
        @JsonProperty("hash") String hash,
        @JsonProperty("effectMs") long effectiveAtMs) {
    /** The configuration before the first version is committed: each member uses its own files. */
    public static final ConfigurationVersion NONE =
            new ConfigurationVersion(0, 0, "", "each member's own files", Map.of(), hash(Map.of()), 0);

    private static final int SHORT_HASH_LENGTH = 12;

    /** Copies the map of file contents. */
    public ConfigurationVersion {
        fileContents = Map.copyOf(fileContents);
    }

    /** Creates a proposal, which has no instant of effect yet. */
    static ConfigurationVersion proposed(
            long number, long parent, String author, String note, Map<String, String> fileContents) {
        return new ConfigurationVersion(number, parent, author, note, fileContents, hash(fileContents), 0);
    }

    /** Returns this version with {@code tableTimeMs} as its instant of effect. */
    public ConfigurationVersion effectiveAt(long tableTimeMs) {
        return new ConfigurationVersion(number, parent, author, note, fileContents, hash, tableTimeMs);
    }

    /** Returns the version with the given number among {@code versions}; {@link #NONE} for 0. */
    public static Optional<ConfigurationVersion> find(List<ConfigurationVersion> versions, long number) {
        if (number == NONE.number) {
            return Optional.of(NONE);
        }
        return versions.stream().filter(version -> version.number == number).findFirst();
    }

    /** Returns the first characters of the hash, the form that operators see. */
    public String shortHash() {
        return shorten(hash);
    }

    /** Returns the short hash of file contents that are not a version yet. */
    public static String shortHash(Map<String, String> fileContents) {
        return shorten(hash(fileContents));
    }

    /** Shortens a hash to the form that operators see. */
    public static String shorten(String hash) {
        return hash.substring(0, SHORT_HASH_LENGTH);
    }

    /**
     * Returns the SHA-256 of the file names and contents in hexadecimal. The length of each string is hashed before the
     * string, so that moving characters from one string to the next changes the hash.
     */
    public static String hash(Map<String, String> fileContents) {
        MessageDigest digest;
        try {
            digest = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every JDK has SHA-256", e);
        }
        new TreeMap<>(fileContents).forEach((name, content) -> {
            update(digest, name);
            update(digest, content);
        });
        return HexFormat.of().formatHex(digest.digest());
    }

    private static void update(MessageDigest digest, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        digest.update((bytes.length + ":").getBytes(StandardCharsets.US_ASCII));
        digest.update(bytes);
    }

    /** Returns the total number of characters in the file names and contents. */
    static int countChars(Map<String, String> fileContents) {
        int chars = 0;
        for (Map.Entry<String, String> file : fileContents.entrySet()) {
            chars += file.getKey().length() + file.getValue().length();
        }
        return chars;
    }
}
