package cases;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a case: what was sent, answered and run, with milliseconds since its start. Thread-safe. */
final class Record implements AutoCloseable {
    private final PrintWriter out;
    private final long startNs = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8), true);
    }

    /** Milliseconds since the start. */
    long ms() {
        return (System.nanoTime() - startNs) / 1_000_000;
    }

    synchronized void line(String format, Object... arguments) {
        String text = String.format("%7d ms  ", ms()) + String.format(format, arguments);
        out.println(text);
        System.out.println(text);
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
