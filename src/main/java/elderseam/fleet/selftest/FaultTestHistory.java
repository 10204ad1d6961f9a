package elderseam.fleet.selftest;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What happened in a rehearsal, a JSON object a line, appended as it happens so that a SIGKILL loses no line that was
 * written. Each has {@code at_ns}, the machine's monotonic clock, which all processes of a machine share; {@code wall_ms};
 * {@code process} and {@code type}. Any thread may add.
 */
public final class FaultTestHistory implements Closeable {
    private final ObjectMapper json = new ObjectMapper();
    private final FileChannel file;
    private final String process;

    /** Appends to {@code file} as {@code process}. */
    public FaultTestHistory(Path file, String process) throws IOException {
        this.file = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        this.process = process;
    }

    /** A line of {@code type}; {@code words} are names and values by turns. */
    public void add(String type, Object... words) {
        at(System.nanoTime(), type, words);
    }

    /** The same of an instant that has passed, of the machine's monotonic clock. */
    public synchronized void at(long atNs, String type, Object... words) {
        Map<String, Object> line = new LinkedHashMap<>();
        line.put("at_ns", atNs);
        line.put("wall_ms", System.currentTimeMillis());
        line.put("process", process);
        line.put("type", type);
        for (int i = 0; i + 1 < words.length; i += 2) {
            line.put((String) words[i], words[i + 1]);
        }
        try {
            file.write(ByteBuffer.wrap(
                    (json.writeValueAsString(line) + "\n").getBytes(java.nio.charset.StandardCharsets.UTF_8)));
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e); // a history with a hole proves nothing
        }
    }

    @Override
    public void close() throws IOException {
        file.close();
    }
}
