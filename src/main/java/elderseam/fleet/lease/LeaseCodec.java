package elderseam.fleet.lease;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import org.apache.ratis.thirdparty.com.google.protobuf.ByteString;

/** Commands and outcomes as they cross the engine: JSON by Jackson, decoded once into the table's typed values. */
final class LeaseCodec {
    private static final ObjectMapper JSON = new ObjectMapper();

    private LeaseCodec() {}

    static ByteString encode(Object value) {
        try {
            return ByteString.copyFrom(JSON.writeValueAsBytes(value));
        } catch (IOException e) {
            throw new UncheckedIOException(e);   // records of strings and numbers always encode
        }
    }

    /** A command, or an IOException naming what is wrong with the bytes: the engine answers that request with it. */
    static LeaseTable.Command command(ByteString bytes) throws IOException {
        try {
            return JSON.readValue(bytes.toByteArray(), LeaseTable.Command.class);
        } catch (IllegalArgumentException e) {
            throw new IOException("lease command: " + e.getMessage(), e);
        }
    }

    /** A snapshot's bytes, or an IOException where they are none. */
    static LeaseTable.Image image(byte[] bytes) throws IOException {
        return JSON.readValue(bytes, LeaseTable.Image.class);
    }

    static LeaseTable.Outcome outcome(ByteString bytes) throws IOException {
        return JSON.readValue(bytes.toByteArray(), LeaseTable.Outcome.class);
    }
}
