package cases;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** A small HTTP/1.1 server and client on loopback sockets, one thread for each connection. */
final class Http {
    /** A request, or the response to one; {@code start} is its first line. */
    record Message(String start, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.getOrDefault(name, "");
        }

        String path() {
            return start.split(" ")[1];
        }

        int code() {
            return Integer.parseInt(start.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Answers a request: the whole response, or null to end the connection without one. */
    interface Handler {
        String answer(Message request, Socket connection) throws Exception;
    }

    /** A server on a free port, or on the given one. */
    static final class Server implements Closeable {
        private final ServerSocket listener;
        private final Handler handler;
        private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

        Server(int port, Handler handler) throws IOException {
            this.handler = handler;
            listener = new ServerSocket();
            listener.setReuseAddress(true);
            listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 256);
            start(this::accept);
        }

        String address() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        private void accept() {
            try {
                while (true) {
                    Socket connection = listener.accept();
                    connection.setTcpNoDelay(true);
                    connections.add(connection);
                    start(() -> serve(connection));
                }
            } catch (IOException e) {
                // closed
            }
        }

        private void serve(Socket connection) {
            try (connection) {
                InputStream in = new BufferedInputStream(connection.getInputStream());
                for (Message request = read(in); request != null; request = read(in)) {
                    String answer = handler.answer(request, connection);
                    if (answer == null) {
                        return;
                    }
                    connection.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
                    connection.getOutputStream().flush();
                }
            } catch (Exception e) {
                // the other side has gone
            } finally {
                connections.remove(connection);
            }
        }

        @Override
        public void close() throws IOException {
            listener.close();
            for (Socket connection : connections) {
                connection.close();
            }
        }
    }

    /** A connection that a client keeps: one request at a time. */
    static final class Link implements Closeable {
        private final Socket socket = new Socket();
        private final InputStream in;

        Link(String address, int timeoutMs) throws IOException {
            socket.connect(socketAddress(address), timeoutMs);
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
        }

        /**
         * Sends a request and waits for its response.
         *
         * @return null if the connection ended without one
         * @throws java.net.SocketTimeoutException if none came in time
         */
        Message ask(String head, byte[] body, int timeoutMs) throws IOException {
            socket.setSoTimeout(timeoutMs);
            socket.getOutputStream().write(request(head, body));
            return read(in);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    private Http() {}

    static InetSocketAddress socketAddress(String address) {
        String[] parts = address.split(":");
        return new InetSocketAddress(parts[0], Integer.parseInt(parts[1]));
    }

    private static byte[] request(String head, byte[] body) {
        ByteArrayOutputStream request = new ByteArrayOutputStream();
        request.writeBytes((head + "Host: api.internal\r\nContent-Length: " + body.length + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        request.writeBytes(body);
        return request.toByteArray();
    }

    static void start(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    static String response(int code, String headers, String body) {
        return "HTTP/1.1 " + code + " x\r\n" + headers + "Content-Length: "
                + body.getBytes(StandardCharsets.ISO_8859_1).length + "\r\n\r\n" + body;
    }

    /** Sends a request on a connection of its own; the response, or null if none came in time. */
    static Message call(String address, String head, byte[] body, int timeoutMs) {
        try (Socket socket = new Socket()) {
            socket.connect(socketAddress(address), timeoutMs);
            socket.setSoTimeout(timeoutMs);
            socket.setTcpNoDelay(true);
            socket.getOutputStream().write(request(head, body));
            return read(new BufferedInputStream(socket.getInputStream()));
        } catch (IOException e) {
            return null;
        }
    }

    /** Reads a request or a response; null at the end of the stream before its first byte. */
    static Message read(InputStream in) throws IOException {
        String start = line(in);
        if (start == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String line = line(in); !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).strip(), line.substring(colon + 1).strip());
        }
        byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("Content-Length", "0")));
        return new Message(start, headers, body);
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                if (line.size() == 0) {
                    return null;
                }
                throw new EOFException();
            }
            line.write(next);
        }
        String text = line.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
    }
}
