package elderseam.compat;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Texts that an earlier build produced, kept under {@code src/test/resources/compat}. A usual run compares with them; a run with
 * {@code -Dcompat.record=true} writes them anew, which is right only where operators are told of the change.
 */
public final class RecordedText {
    /** Where recorded texts and the inputs that lead to them lie. */
    public static final Path FOLDER = Path.of("src/test/resources/compat");

    private RecordedText() {}

    /** Asserts that {@code actual} is the text recorded as {@code name}, byte for byte. */
    public static void check(String name, String actual) throws IOException {
        Path file = FOLDER.resolve(name);
        if (Boolean.getBoolean("compat.record")) {
            Files.writeString(file, actual);
        }
        assertEquals(Files.readString(file), actual, name);
    }
}
