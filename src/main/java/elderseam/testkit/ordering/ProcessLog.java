package elderseam.testkit.ordering;

import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The log of the processes under test, each line stamped with the run's clock when it is read, in a file. Thread-safe.
 */
final class ProcessLog implements AutoCloseable {
    private static final double NS_PER_S = 1e9;
    private static final Pattern MESSAGE_ID = Pattern.compile(" id=(\\S+)");

    private final Path file;
    private final long originNs;
    private final BufferedWriter writer;
    private boolean closed;

    /**
     * Begins an empty log.
     *
     * @param originNs the time of {@link System#nanoTime} that stamps count from
     */
    ProcessLog(Path file, long originNs) throws IOException {
        this.file = file;
        this.originNs = originNs;
        this.writer = Files.newBufferedWriter(file);
    }

    /** Copies the output of a process to its end, on a thread of its own. */
    void follow(Process process) {
        Thread thread = new Thread(() -> copy(process), "ordering-process-log");
        thread.setDaemon(true);
        thread.start();
    }

    private void copy(Process process) {
        try (BufferedReader output = process.inputReader()) {
            for (String line = output.readLine(); line != null; line = output.readLine()) {
                append("pid=" + process.pid() + " " + line);
            }
        } catch (IOException e) {
            append("pid=" + process.pid() + " the output can't be read: " + e);
        }
    }

    /** Adds a line with the time of now. */
    void append(String line) {
        append(System.nanoTime(), line);
    }

    private synchronized void append(long timeNs, String line) {
        if (closed) {
            return;
        }
        try {
            writer.write(String.format(Locale.ROOT, "%.3f %s%n", (timeNs - originNs) / NS_PER_S, line));
            writer.flush();
        } catch (IOException e) {
            throw new IllegalStateException("cannot write " + file, e);
        }
    }

    /** The lines that tell of these messages, of stalls, and of the processes' beginning and end. */
    synchronized List<String> linesAbout(Set<String> messageIds) {
        List<String> lines = new ArrayList<>();
        try {
            for (String line : Files.readAllLines(file)) {
                Matcher id = MESSAGE_ID.matcher(line);
                boolean ofMessage = id.find() && messageIds.contains(id.group(1));
                if (ofMessage || !line.contains(" DEBUG ")) {
                    lines.add(line);
                }
            }
        } catch (IOException e) {
            throw new IllegalStateException("cannot read " + file, e);
        }
        return lines;
    }

    /** Ends the log; what comes later is dropped. */
    @Override
    public synchronized void close() throws IOException {
        closed = true;
        writer.close();
    }
}
