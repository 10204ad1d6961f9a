package elderseam.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * A request to an endpoint.
 *
 * @param path path and query, sent without further encoding
 * @param headers names and values, without {@code Host} and {@code Content-Length}; control characters in a value are
 *     replaced by spaces
 * @param body the body, which must not be modified; empty for GET
 */
public record HttpRequest(String method, String path, Map<String, String> headers, byte[] body) {
    private static final int INITIAL_HEAD_CAPACITY = 256;
    private static final char DELETE = 0x7f;

    /** Returns a GET request without additional headers. */
    public static HttpRequest get(String path) {
        return new HttpRequest("GET", path, Map.of(), new byte[0]);
    }

    /** Encodes the request in HTTP/1.1 format, with {@code host} as its Host header. */
    ByteBuffer encode(String host) {
        StringBuilder head = new StringBuilder(INITIAL_HEAD_CAPACITY);
        head.append(method).append(' ').append(path).append(" HTTP/1.1\r\n");
        head.append("Host: ").append(host).append("\r\n");
        headers.forEach((name, value) -> appendHeader(head, name, value));
        if (!method.equals("GET")) {
            head.append("Content-Length: ").append(body.length).append("\r\n");
        }
        head.append("\r\n");
        byte[] headBytes = head.toString().getBytes(StandardCharsets.ISO_8859_1);
        return ByteBuffer.allocate(headBytes.length + body.length)
                .put(headBytes)
                .put(body)
                .flip();
    }

    private static void appendHeader(StringBuilder head, String name, String value) {
        head.append(name).append(": ");
        for (int i = 0; i < value.length(); i++) {
            char character = value.charAt(i);
            boolean control = character < ' ' || character == DELETE; // could inject another header
            head.append(control ? ' ' : character);
        }
        head.append("\r\n");
    }
}
