package elderseam.fleet.lease;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import elderseam.fleet.config.VersionTable;
import java.io.IOException;
import java.io.UncheckedIOException;
import org.apache.ratis.thirdparty.com.google.protobuf.ByteString;

/**
 * Commands and outcomes as they cross the engine: JSON by Jackson, decoded once into the table's typed values. The names in the
 * JSON are those of the {@code @JsonProperty} annotations and never change, since earlier builds' logs and snapshots have them.
 */
final class LeaseCodec {
    private static final ObjectMapper JSON = new ObjectMapper();

    private LeaseCodec() {}

    static ByteString encode(Object value) {
        try {
            return ByteString.copyFrom(JSON.writeValueAsBytes(value));
        } catch (IOException e) {
            throw new UncheckedIOException(e); // records of strings and numbers always encode
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

    /** A command on versions stands behind this byte, which begins no JSON. */
    private static final byte VERSIONS = 'V';

    private static final String MORE = "versions";

    static boolean isVersions(ByteString bytes) {
        return !bytes.isEmpty() && bytes.byteAt(0) == VERSIONS;
    }

    static ByteString encodeVersions(VersionTable.Command command) {
        return ByteString.copyFrom(new byte[] {VERSIONS}).concat(encode(command));
    }

    static VersionTable.Command versions(ByteString bytes) throws IOException {
        try {
            return JSON.readValue(bytes.substring(1).toByteArray(), VersionTable.Command.class);
        } catch (IllegalArgumentException e) {
            throw new IOException("version command: " + e.getMessage(), e);
        }
    }

    static VersionTable.Outcome versionsOutcome(ByteString bytes) throws IOException {
        return JSON.readValue(bytes.toByteArray(), VersionTable.Outcome.class);
    }

    /** What a snapshot holds; one from before there were versions has none. */
    record Images(LeaseTable.Image leases, VersionTable.Image versions) {}

    static byte[] encode(Images images) {
        ObjectNode node = JSON.valueToTree(images.leases);
        node.set(MORE, JSON.valueToTree(images.versions));
        return encode(node).toByteArray();
    }

    /** A snapshot's bytes, or an IOException where they are none. */
    static Images images(byte[] bytes) throws IOException {
        ObjectNode node = (ObjectNode) JSON.readTree(bytes);
        JsonNode versions = node.remove(MORE);
        return new Images(
                JSON.treeToValue(node, LeaseTable.Image.class),
                versions == null ? null : JSON.treeToValue(versions, VersionTable.Image.class));
    }

    static LeaseTable.Outcome outcome(ByteString bytes) throws IOException {
        return JSON.readValue(bytes.toByteArray(), LeaseTable.Outcome.class);
    }
}
