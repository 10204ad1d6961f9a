package elderseam.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import elderseam.core.Clock;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A process in which an error was thrown ends, so that it is started anew. */
class FatalErrorsTest {
    private static final int TIMEOUT_S = 20;

    /** The program under test: throws on the thread that its argument names, and otherwise runs on. */
    static final class Program {
        private Program() {}

        public static void main(String[] args) throws Exception {
            FatalErrors.install();
            if (args[0].equals("thread")) {
                new Thread(() -> {
                            throw new OutOfMemoryError("planted");
                        })
                        .start();
            } else {
                IoLoop io = new IoLoop(new Clock());
                io.run(() -> {
                    throw new StackOverflowError("planted");
                });
            }
            TimeUnit.SECONDS.sleep(2 * TIMEOUT_S);
        }
    }

    private static String output(int exitCode, String... command) throws Exception {
        Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
        try {
            assertTrue(process.waitFor(TIMEOUT_S, TimeUnit.SECONDS), "it runs on");
            assertEquals(exitCode, process.exitValue());
            return new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        } finally {
            process.destroyForcibly();
        }
    }

    /** Guards against a process that goes on without the thread, or with half of a task done, and says that it is ready. */
    @ParameterizedTest
    @ValueSource(strings = {"thread", "task"})
    void anErrorEndsTheProcess(String thrower) throws Exception {
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        String printed = output(
                FatalErrors.EXIT_CODE,
                java,
                "-cp",
                System.getProperty("java.class.path"),
                Program.class.getName(),
                thrower);
        assertTrue(printed.contains("process.fatal_error"), printed);
    }

    /** Errors that a library catches on its own threads: the JVM itself ends where memory has run out. */
    @Test
    void theDeployedProcessEndsWhereMemoryHasRunOut() throws Exception {
        String script = Files.readString(Path.of("deploy/serve.sh"));
        assertTrue(script.contains("-XX:+ExitOnOutOfMemoryError"), script);
    }
}
