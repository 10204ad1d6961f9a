package elderseam.testkit.ordering;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Map;
import java.util.Optional;

/**
 * The wall clock of the processes under test, which a test steps while they run; their monotonic clock runs on. A small
 * library that is compiled at the start and preloaded into the processes; absent where there is no C compiler.
 */
final class SteppedClock {
    private static final String SOURCE = "stepped_clock.c";
    private static final String LIBRARY = "stepped_clock.so";

    private final Path library;
    private final Path stepFile;

    private SteppedClock(Path library, Path stepFile) {
        this.library = library;
        this.stepFile = stepFile;
    }

    /** Compiles the library in a folder; empty where no compiler does that. */
    static Optional<SteppedClock> build(Path folder) throws IOException, InterruptedException {
        Path source = folder.resolve(SOURCE);
        try (InputStream text = SteppedClock.class.getResourceAsStream(SOURCE)) {
            Files.copy(text, source);
        }
        Path library = folder.resolve(LIBRARY);
        try {
            Process compiler = new ProcessBuilder(
                            "cc", "-shared", "-fPIC", "-O1", "-o", library.toString(), source.toString(), "-ldl")
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                    .start();
            if (compiler.waitFor() != 0) {
                return Optional.empty();
            }
        } catch (IOException e) { // no compiler here
            return Optional.empty();
        }
        SteppedClock clock = new SteppedClock(library, folder.resolve("clock_step"));
        clock.step(0);
        return Optional.of(clock);
    }

    /** What the environment of a process under test needs. */
    Map<String, String> environment() {
        return Map.of("LD_PRELOAD", library.toString(), "CLOCK_STEP_FILE", stepFile.toString());
    }

    /** From now on the wall clock is so many seconds ahead of the true one. */
    void step(long seconds) throws IOException {
        byte[] number = ByteBuffer.allocate(Long.BYTES)
                .order(ByteOrder.nativeOrder())
                .putLong(seconds)
                .array();
        Files.write(stepFile, number, StandardOpenOption.CREATE, StandardOpenOption.WRITE); // in place: it is mapped
    }
}
