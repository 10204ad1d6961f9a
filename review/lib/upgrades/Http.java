package upgrades;

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

/** The little HTTP/1.1 that the stand-ins and clients need, on blocking sockets. */
final class Http {
    /** A request or response: its first line, headers and body, and when its last byte was read. */
    static final class Message {
        String firstLine;
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        String body;
        double completeAt;

        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }
    }

    /** Answers the requests of one connection, one after the other. */
    interface Handler {
        /** Returns the response, or null to write none and keep the connection. May block. */
        String answer(Message request, Socket socket) throws IOException, InterruptedException;
    }

    /** A server on a free port of the loopback interface, with a thread for each connection. */
    static final class Server {
        final ServerSocket listener;
        private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

        Server(Handler handler) throws IOException {
            listener = new ServerSocket(0, 256, InetAddress.getLoopbackAddress());
            thread(() -> {
                while (true) {
                    Socket socket;
                    try {
                        socket = listener.accept();
                    } catch (IOException e) {
                        return;
                    }
                    sockets.add(socket);
                    thread(() -> serve(socket, handler));
                }
            });
        }

        private void serve(Socket socket, Handler handler) {
            try (socket) {
                socket.setTcpNoDelay(true);
                for (Message request = read(socket.getInputStream());
                        request != null;
                        request = read(socket.getInputStream())) {
                    String answer = handler.answer(request, socket);
                    if (answer != null) {
                        socket.getOutputStream().write(answer.getBytes(StandardCharsets.UTF_8));
                    }
                }
            } catch (IOException | InterruptedException e) {
                // the peer has gone
            }
            sockets.remove(socket);
        }

        String address() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        /** Accepts no new connections. */
        void stopAccepting() throws IOException {
            listener.close();
        }

        /** Closes the open connections. */
        void closeConnections() {
            for (Socket socket : sockets) {
                try {
                    socket.close();
                } catch (IOException e) {
                    // closed already
                }
            }
        }
    }

    private Http() {}

    static void thread(Runnable task) {
        Thread thread = new Thread(null, task, "stand-in", 256 << 10);
        thread.setDaemon(true);
        thread.start();
    }

    static InetSocketAddress socketAddress(String address) {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    static String response(String status, String headers, String body) {
        return "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Reads a message; null at the end of the stream. */
    static Message read(InputStream in) throws IOException {
        Message message = new Message();
        message.firstLine = line(in);
        if (message.firstLine == null) {
            return null;
        }
        for (String line = line(in); line == null || !line.isEmpty(); line = line(in)) {
            if (line == null) {
                return null;
            }
            int colon = line.indexOf(':');
            message.headers.put(line.substring(0, colon).strip(), line.substring(colon + 1).strip());
        }
        int length = Integer.parseInt(message.headers.getOrDefault("Content-Length", "0"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            return null;
        }
        message.body = new String(body, StandardCharsets.UTF_8);
        message.completeAt = Record.now();
        return message;
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                return null;
            }
            line.append((char) next);
        }
        int length = line.length();
        return length > 0 && line.charAt(length - 1) == '\r' ? line.substring(0, length - 1) : line.toString();
    }
}
