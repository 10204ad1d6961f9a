package elderseam.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** A request to another host, encoded once. */
public record HttpRequest(String method, String path, Map<String, String> headers, byte[] body) {
    public static HttpRequest get(String path) {
        return new HttpRequest("GET", path, Map.of(), new byte[0]);
    }

    ByteBuffer encoded(String host) {
        StringBuilder head = new StringBuilder(256)
                .append(method)
                .append(' ')
                .append(path)
                .append(" HTTP/1.1\r\nHost: ")
                .append(host)
                .append("\r\n");
        headers.forEach((name, value) -> {
            head.append(name).append(": ");
            for (int i = 0; i < value.length(); i++) {
                char c = value.charAt(i);
                head.append(c < 0x20 || c == 0x7f ? ' ' : c); // no value may end its line
            }
            head.append("\r\n");
        });
        if (!method.equals("GET")) {
            head.append("Content-Length: ").append(body.length).append("\r\n");
        }
        byte[] start = head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
        return ByteBuffer.allocate(start.length + body.length)
                .put(start)
                .put(body)
                .flip();
    }
}
