package review2;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** A message of HTTP/1.1 with a Content-Length, read from or written to a socket. */
final class Http {
    final String first;
    final Map<String, String> headers;
    final byte[] body;

    Http(String first, Map<String, String> headers, byte[] body) {
        this.first = first;
        this.headers = headers;
        this.body = body;
    }

    String header(String name) {
        return headers.getOrDefault(name, "");
    }

    /** The status of an answer. */
    int status() {
        return Integer.parseInt(first.split(" ")[1]);
    }

    String method() {
        return first.split(" ")[0];
    }

    String target() {
        return first.split(" ")[1];
    }

    String text() {
        return new String(body, StandardCharsets.UTF_8);
    }

    /** The next message; null where the stream ends before its first byte. */
    static Http read(InputStream in) throws IOException {
        String first = line(in);
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String line = line(in); !"".equals(line); line = line(in)) {
            if (line == null) {
                throw new IOException("the head breaks off");
            }
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).strip(), line.substring(colon + 1).strip());
        }
        int length = Integer.parseInt(headers.getOrDefault("Content-Length", "0"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new IOException("the body breaks off");
        }
        return new Http(first, headers, body);
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int b = in.read(); b >= 0; b = in.read()) {
            if (b == '\n') {
                String line = bytes.toString(StandardCharsets.ISO_8859_1);
                return line.endsWith("\r") ? line.substring(0, line.length() - 1) : line;
            }
            bytes.write(b);
        }
        if (bytes.size() > 0) {
            throw new IOException("a line breaks off");
        }
        return null;
    }

    static byte[] bytes(String first, Map<String, String> headers, byte[] body) {
        StringBuilder head = new StringBuilder(first).append("\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        if (!first.startsWith("HTTP/1.1 204")) { // which has no body, and tells no length
            head.append("Content-Length: ").append(body.length).append("\r\n");
        }
        head.append("\r\n");
        byte[] start = head.toString().getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[start.length + body.length];
        System.arraycopy(start, 0, all, 0, start.length);
        System.arraycopy(body, 0, all, start.length, body.length);
        return all;
    }

    static byte[] answer(int status, Map<String, String> headers, String body) {
        return bytes("HTTP/1.1 " + status + " x", headers, body.getBytes(StandardCharsets.UTF_8));
    }
}
