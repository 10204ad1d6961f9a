package elderseam.compat;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/**
 * Recorded texts ({@link RecordedBytes}) that an earlier build printed. One that is to change is deleted and recorded anew, which is
 * right only where operators are told of the change.
 */
public final class RecordedText {
    /** Where recorded texts and the inputs that lead to them lie. */
    public static final Path FOLDER = RecordedBytes.path("");

    private RecordedText() {}

    /** Asserts that {@code actual} is the text recorded as {@code name}, byte for byte. */
    public static void check(String name, String actual) throws IOException {
        byte[] recorded = RecordedBytes.bytes(name, actual.getBytes(StandardCharsets.UTF_8));
        assertEquals(new String(recorded, StandardCharsets.UTF_8), actual, name);
    }
}
