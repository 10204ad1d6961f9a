package elderseam.fleet.selftest;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The history of one process in a fault test, which checkers read afterwards: one JSON object per line, appended as it
 * happens, so that a SIGKILL loses no line that was written. Each line has {@code at_ns}, the machine's monotonic clock,
 * which all processes of a machine share, {@code wall_ms}, {@code process}, {@code type} and the event's own fields.
 *
 * <p>Thread-safe.
 */
public final class FaultTestHistory implements Closeable {
    private final ObjectMapper json = new ObjectMapper();
    private final FileChannel file;
    private final String process;

    /** Appends to {@code file}, created if missing, as {@code process}. */
    public FaultTestHistory(Path file, String process) throws IOException {
        this.file = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        this.process = process;
    }

    /** Starts an event of {@code type} that happens now; {@link Event#append} writes it. */
    public Event event(String type) {
        return eventAt(System.nanoTime(), type);
    }

    /** Starts an event that happened at {@code atNs} of the machine's monotonic clock. */
    public Event eventAt(long atNs, String type) {
        return new Event(atNs, type);
    }

    /** One event while it is put together. Not thread-safe, except {@link #append}. */
    public final class Event {
        private final long atNs;
        private final String type;
        private final Map<String, Object> fields = new LinkedHashMap<>();

        private Event(long atNs, String type) {
            this.atNs = atNs;
            this.type = type;
        }

        /** Adds a field. */
        public Event with(String name, String value) {
            fields.put(name, value);
            return this;
        }

        /** Adds a field. */
        public Event with(String name, long value) {
            fields.put(name, value);
            return this;
        }

        /** Adds a field. */
        public Event with(String name, boolean value) {
            fields.put(name, value);
            return this;
        }

        /**
         * Writes the event as a line. Throws {@link UncheckedIOException} if that fails, because an incomplete history
         * proves nothing.
         */
        public void append() {
            FaultTestHistory.this.append(this);
        }
    }

    private synchronized void append(Event event) {
        Map<String, Object> line = new LinkedHashMap<>();
        line.put("at_ns", event.atNs);
        line.put("wall_ms", System.currentTimeMillis());
        line.put("process", process);
        line.put("type", event.type);
        line.putAll(event.fields);
        try {
            String text = json.writeValueAsString(line) + "\n";
            file.write(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void close() throws IOException {
        file.close();
    }
}
