package elderseam.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The module's own limits. */
class ModuleTest {
    private final Path source = Path.of("src/main/java/elderseam/policy/DispatchPolicy.java");

    @Test
    void itStaysSmall() throws IOException {
        List<String> lines = Files.readAllLines(source);
        assertTrue(lines.stream().filter(l -> !l.isBlank()).count() <= 1010);
        assertEquals(List.of(), lines.stream().filter(l -> l.length() > 110).toList());
    }

    @Test
    void itHoldsNoStaticStateClockOrUnorderedIteration() throws IOException {
        for (String line : Files.readAllLines(source)) {
            String l = line.strip();
            assertTrue(!l.matches("(private |public )?static (?!final |.*\\().*;.*"), l);
            assertTrue(!l.contains("System.") && !l.contains("Math.random") && !l.contains("new Random"), l);
            assertTrue(!l.matches(".*(destinations|lanes)\\.(values|keySet|entrySet|forEach).*"), l);
        }
    }
}
