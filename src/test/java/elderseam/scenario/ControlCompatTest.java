package elderseam.scenario;

import elderseam.compat.RecordedResource;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Answers and faults of the control address of a process outside a fleet, byte for byte: no value among them is volatile. */
class ControlCompatTest {
    @TempDir
    Path folder;

    private final StringBuilder transcript = new StringBuilder();

    private void ask(Scenario s, String line) throws Exception {
        transcript
                .append("> ")
                .append(line.length() > 300 ? line.length() + " bytes" : line)
                .append('\n')
                .append(s.control(line + "\n"));
    }

    @Test
    void answersAreAsRecorded() throws Exception {
        try (Scenario s = new Scenario(folder)) {
            s.start();
            for (String line : List.of(
                    "INFO",
                    "PING",
                    "DETACH h1",
                    "DETACH h1",
                    "INFO",
                    "ATTACH h1",
                    "DETACH none",
                    "ATTACH none",
                    "",
                    "PONG",
                    "PING now",
                    "INFO now",
                    "LAMEDUCK now",
                    "REJOIN now",
                    "DETACH",
                    "ATTACH",
                    "DETACH a b",
                    "DETACH \u00e9",
                    "FLEET",
                    "FLEET n2",
                    "FLEET n2=127.0.0.1:99999",
                    "CONFIG",
                    "CONFIG NOW",
                    "CONFIG DIFF 0",
                    "CONFIG DIFF 0 1",
                    "CONFIG PROPOSE 0 0 /f n",
                    "CONFIG ROLLBACK 0",
                    "x".repeat(301),
                    "LAMEDUCK",
                    "REJOIN",
                    "PING")) {
                ask(s, line);
            }
        }
        RecordedResource.assertText("control/answers", transcript.toString());
    }
}
