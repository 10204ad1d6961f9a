package review2;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** What a case sent, got and saw, one line each, in record.txt of the case's folder and on standard output. */
final class Record {
    private final PrintWriter out;
    private final long startNs = System.nanoTime();
    private final Set<String> texts = ConcurrentHashMap.newKeySet();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
    }

    /** Milliseconds since the start of the record. */
    double ms() {
        return (System.nanoTime() - startNs) / 1e6;
    }

    synchronized void line(String who, String text) {
        texts.add(text);
        String line = String.format(Locale.ROOT, "%10.1f %-10s %s", ms(), who, text);
        out.println(line);
        out.flush();
        System.out.println(line);
    }

    /** Whether a line with that text was written. */
    boolean contains(String text) {
        return texts.contains(text);
    }
}
