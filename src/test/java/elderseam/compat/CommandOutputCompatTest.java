package elderseam.compat;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What programs read of the commands' output, with their exit codes and synopses, is what earlier builds wrote. */
class CommandOutputCompatTest {
    @TempDir
    Path folder;

    @Test
    void outputIsAsRecorded() throws Exception {
        Process p = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-Duser.language=en",
                        "-cp",
                        System.getProperty("java.class.path"),
                        CommandReplay.class.getName(),
                        folder.toString())
                .directory(RecordedResource.folder().resolve("cli").toFile())
                .redirectError(ProcessBuilder.Redirect.INHERIT)
                .start();
        String transcript = new String(p.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(0, p.waitFor());
        RecordedResource.assertText("cli/transcript", transcript);
    }
}
