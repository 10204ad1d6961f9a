package upgrades;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a run: one line for each thing that was sent, answered or run, with milliseconds since its start. */
final class Record implements AutoCloseable {
    private static final long START_NS = System.nanoTime();

    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
    }

    /** Milliseconds since the start. */
    static double now() {
        return (System.nanoTime() - START_NS) / 1e6;
    }

    /** Writes a line. */
    synchronized void line(String format, Object... values) {
        out.printf(Locale.ROOT, "%9.1f  %s%n", now(), String.format(Locale.ROOT, format, values));
        out.flush();
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
