package elderseam.testkit.ordering;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** One blocking connection with HTTP/1.1 messages, of a stand-in or a client. Confined to one thread but for closing. */
final class HttpConnection implements AutoCloseable {
    private static final String HEAD_END = "\r\n\r\n";
    private static final String LENGTH_HEADER = "content-length:";

    /** A message as it was read. */
    record Message(String startLine, String head, String body) {
        /** The first value of a header; empty if there is none. */
        String header(String name) {
            String prefix = name.toLowerCase(Locale.ROOT) + ":";
            return head.lines()
                    .filter(line -> line.toLowerCase(Locale.ROOT).startsWith(prefix))
                    .map(line -> line.substring(prefix.length()).strip())
                    .findFirst()
                    .orElse("");
        }

        /** The status code of a response. */
        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }
    }

    private final Socket socket;
    private final InputStream input;

    HttpConnection(Socket socket) throws IOException {
        this.socket = socket;
        socket.setTcpNoDelay(true);
        this.input = new BufferedInputStream(socket.getInputStream());
    }

    static HttpConnection connect(InetSocketAddress address, int timeoutMs) throws IOException {
        Socket socket = new Socket();
        try {
            socket.connect(address, timeoutMs);
            return new HttpConnection(socket);
        } catch (IOException e) {
            socket.close();
            throw e;
        }
    }

    /** The next message; null once the other side has ended its sending. {@code timeoutMs}: for each read, 0 for none. */
    Message read(int timeoutMs) throws IOException {
        socket.setSoTimeout(timeoutMs);
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        while (!endsHead(bytes)) {
            int next = input.read();
            if (next < 0) {
                return null;
            }
            bytes.write(next);
        }
        String head = bytes.toString(StandardCharsets.ISO_8859_1);
        int length = head.toLowerCase(Locale.ROOT)
                .lines()
                .filter(line -> line.startsWith(LENGTH_HEADER))
                .mapToInt(line ->
                        Integer.parseInt(line.substring(LENGTH_HEADER.length()).strip()))
                .findFirst()
                .orElse(0);
        byte[] body = input.readNBytes(length);
        if (body.length < length) {
            return null;
        }
        return new Message(head.substring(0, head.indexOf("\r\n")), head, new String(body, StandardCharsets.UTF_8));
    }

    private static boolean endsHead(ByteArrayOutputStream bytes) {
        if (bytes.size() < HEAD_END.length()) {
            return false;
        }
        String text = bytes.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith(HEAD_END);
    }

    /** Waits for that long; whether the other side has ended its sending, or the connection, meanwhile. */
    boolean endsWithin(long waitMs) {
        try {
            socket.setSoTimeout((int) Math.max(1, waitMs));
            return input.read() < 0;
        } catch (SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            return true; // reset
        }
    }

    void write(String text) throws IOException {
        write(bytes(text));
    }

    /** Writes all parts in one write. */
    void write(byte[]... parts) throws IOException {
        ByteArrayOutputStream joined = new ByteArrayOutputStream();
        for (byte[] part : parts) {
            joined.writeBytes(part);
        }
        socket.getOutputStream().write(joined.toByteArray());
    }

    /** The bytes of a text. */
    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** The bytes of an answer. {@code headers}: each with its line end. */
    static String answer(int status, String headers, String body) {
        return "HTTP/1.1 " + status + " x\r\n" + headers + "Content-Length: " + bytes(body).length + "\r\n\r\n" + body;
    }

    /** Writes an answer, and a copy of it later where that fault is played. */
    void answer(String answer, CopiedAnswers copies) throws IOException {
        write(answer);
        copies.answered(this, answer);
    }

    void reset() throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
