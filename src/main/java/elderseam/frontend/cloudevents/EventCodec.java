package elderseam.frontend.cloudevents;

import io.cloudevents.CloudEvent;
import io.cloudevents.http.HttpMessageFactory;
import io.cloudevents.rw.CloudEventRWException;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The body of an event's message: the event as it leaves in binary mode. The journal and the handover hold such bodies,
 * so that the format must not change: a 16-bit count of headers, name and value of each in modified UTF-8 ({@link
 * DataOutputStream#writeUTF}), then the payload. Thread-safe.
 */
final class EventCodec {
    private static final byte[] NO_PAYLOAD = {};

    /** An event in binary mode: its headers in their order, and its payload. */
    record BinaryEvent(Map<String, String> headers, byte[] payload) {}

    private EventCodec() {}

    /**
     * Encodes an event.
     *
     * @throws InvalidEventException if the event can't be written in binary mode, or an attribute is too long
     */
    static byte[] encode(CloudEvent event) throws InvalidEventException {
        try {
            return encode(toBinaryMode(event));
        } catch (CloudEventRWException | IllegalStateException e) {
            throw InvalidEventException.malformed(e);
        } catch (IOException e) { // of writeUTF, the only one that can fail here
            throw InvalidEventException.malformed("an attribute is too long");
        }
    }

    private static BinaryEvent toBinaryMode(CloudEvent event) {
        Map<String, String> headers = new LinkedHashMap<>();
        byte[][] payload = {NO_PAYLOAD};
        HttpMessageFactory.createWriter(headers::put, bytes -> payload[0] = bytes == null ? NO_PAYLOAD : bytes)
                .writeBinary(event);
        return new BinaryEvent(headers, payload[0]);
    }

    private static byte[] encode(BinaryEvent event) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeShort(event.headers.size());
            for (Map.Entry<String, String> header : event.headers.entrySet()) {
                String name = header.getKey();
                String value = header.getValue();
                out.writeUTF(name);
                out.writeUTF(AttributeHeaderCodec.isAttributeHeader(name) ? AttributeHeaderCodec.encode(value) : value);
            }
            out.write(event.payload);
        }
        return bytes.toByteArray();
    }

    /** Decodes a body that {@link #encode} has made. */
    static BinaryEvent decode(byte[] body) {
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(body))) {
            int headerCount = in.readShort();
            Map<String, String> headers = new LinkedHashMap<>();
            for (int i = 0; i < headerCount; i++) {
                String name = in.readUTF();
                headers.put(name, in.readUTF());
            }
            return new BinaryEvent(headers, in.readAllBytes());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
