package elderseam.fleet.lease;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import elderseam.fleet.config.VersionTable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Optional;
import org.apache.ratis.thirdparty.com.google.protobuf.ByteString;

/**
 * Encodes and decodes commands in the Raft log, their outcomes and snapshots as JSON, mapped by Jackson. A command for
 * the version table has a one-byte prefix; a snapshot is the JSON object of the lease table with the version table as
 * an additional field. Stateless and thread-safe.
 */
final class LeaseCodec {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** Precedes a command for the version table; no JSON text starts with it. */
    private static final byte VERSION_COMMAND_PREFIX = 'V';

    private static final String VERSIONS_FIELD = "versions";

    /**
     * The contents of a Raft snapshot: both tables.
     *
     * @param leases the lease table
     * @param versions the version table; empty in a snapshot that was written before versions existed
     */
    record GroupSnapshot(LeaseTable.Snapshot leases, Optional<VersionTable.Snapshot> versions) {}

    private LeaseCodec() {}

    static ByteString encodeCommand(GroupCommand command) {
        if (command instanceof GroupCommand.VersionCommand versionCommand) {
            ByteString prefix = ByteString.copyFrom(new byte[] {VERSION_COMMAND_PREFIX});
            return prefix.concat(encode(versionCommand.command()));
        }
        return encode(((GroupCommand.LeaseCommand) command).command());
    }

    /**
     * Throws an IOException with the cause if the bytes are invalid; the engine returns it to the sender of the
     * request.
     */
    static GroupCommand decodeCommand(ByteString bytes) throws IOException {
        if (!bytes.isEmpty() && bytes.byteAt(0) == VERSION_COMMAND_PREFIX) {
            ByteString json = bytes.substring(1);
            return new GroupCommand.VersionCommand(decodeCommand(json, VersionTable.Command.class, "version command"));
        }
        return new GroupCommand.LeaseCommand(decodeCommand(bytes, LeaseTable.Command.class, "lease command"));
    }

    private static <T> T decodeCommand(ByteString json, Class<T> type, String description) throws IOException {
        try {
            return JSON.readValue(json.toByteArray(), type);
        } catch (IllegalArgumentException e) {
            throw new IOException(description + ": " + e.getMessage(), e);
        }
    }

    static ByteString encodeOutcome(LeaseTable.Outcome outcome) {
        return encode(outcome);
    }

    static ByteString encodeOutcome(VersionTable.Outcome outcome) {
        return encode(outcome);
    }

    static LeaseTable.Outcome decodeLeaseOutcome(ByteString bytes) throws IOException {
        return JSON.readValue(bytes.toByteArray(), LeaseTable.Outcome.class);
    }

    static VersionTable.Outcome decodeVersionOutcome(ByteString bytes) throws IOException {
        return JSON.readValue(bytes.toByteArray(), VersionTable.Outcome.class);
    }

    /** Throws NoSuchElementException without a version table: every snapshot that is written contains both tables. */
    static byte[] encodeSnapshot(GroupSnapshot snapshot) {
        ObjectNode node = JSON.valueToTree(snapshot.leases());
        node.set(VERSIONS_FIELD, JSON.valueToTree(snapshot.versions().orElseThrow()));
        return encode(node).toByteArray();
    }

    /** Throws an IOException if the bytes are not a valid snapshot. */
    static GroupSnapshot decodeSnapshot(byte[] bytes) throws IOException {
        ObjectNode node = (ObjectNode) JSON.readTree(bytes);
        JsonNode versions = node.remove(VERSIONS_FIELD);
        LeaseTable.Snapshot leases = JSON.treeToValue(node, LeaseTable.Snapshot.class);
        return new GroupSnapshot(
                leases,
                versions == null
                        ? Optional.empty()
                        : Optional.ofNullable(JSON.treeToValue(versions, VersionTable.Snapshot.class)));
    }

    private static ByteString encode(Object value) {
        try {
            return ByteString.copyFrom(JSON.writeValueAsBytes(value));
        } catch (IOException e) {
            throw new UncheckedIOException("cannot encode value as JSON", e);
        }
    }
}
