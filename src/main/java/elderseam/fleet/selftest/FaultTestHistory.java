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
 * The history of one process in a fault test, which history checkers read after the test: a file with one JSON object
 * per line. Each event is appended when it happens, so that a SIGKILL loses no line that was written. Each line has the
 * fields {@code at_ns} (the machine's monotonic clock, which all processes of a machine share), {@code wall_ms},
 * {@code process} and {@code type}, and the fields of the event.
 *
 * <p>Thread-safe.
 */
public final class FaultTestHistory implements Closeable {
    private final ObjectMapper json = new ObjectMapper();
    private final FileChannel file;
    private final String process;

    /** Opens {@code file} for appending, creating it if missing; {@code process} names this process in each line. */
    public FaultTestHistory(Path file, String process) throws IOException {
        this.file = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        this.process = process;
    }

    /** Creates an event of {@code type} at the current time; {@link Event#append} writes it. */
    public Event event(String type) {
        return eventAt(System.nanoTime(), type);
    }

    /** Creates an event that happened at {@code atNs} on the machine's monotonic clock. */
    public Event eventAt(long atNs, String type) {
        return new Event(atNs, type);
    }

    /** A builder for one event. Not thread-safe, except for {@link #append}. */
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
         * cannot be checked.
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
