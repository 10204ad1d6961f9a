package elderseam.scenario;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/** Plain sockets for the stand-ins: whole HTTP messages as text, one for each read. */
final class RawHttpSocket {
    static final long PATIENCE_S = 20;
    /** What a queue holds once a connection has ended. */
    static final String ENDED = "(ended)";

    private static final AtomicInteger GIVEN = new AtomicInteger();

    private RawHttpSocket() {}

    /** One connection, and the messages that have come on it. */
    static final class Link {
        final Socket socket;
        final BlockingQueue<String> read = new LinkedBlockingQueue<>();
        volatile boolean reset; // it did not end in order
        private final Consumer<String> observer;

        /**
         * Reads a connection on a thread of its own.
         *
         * @param also takes each message
         * @param observer is told in words what happens on the connection
         */
        Link(Socket socket, Consumer<String> also, Consumer<String> observer) {
            this.socket = socket;
            this.observer = event -> observer.accept("port " + socket.getPort() + " " + event);
            this.observer.accept("connected");
            Thread t = new Thread(() -> {
                try { // not closed at its end: the other side may have ended its sending alone
                    InputStream in = new BufferedInputStream(socket.getInputStream());
                    for (String m = message(in); m != null; m = message(in)) {
                        this.observer.accept("read " + m);
                        read.add(m);
                        also.accept(m);
                    }
                } catch (IOException e) {
                    reset = true; // as good as an end, unless it is asked for
                }
                this.observer.accept(reset ? "reset" : "ended by the other side");
                read.add(ENDED);
            });
            t.setDaemon(true);
            t.start();
        }

        void write(String text) throws IOException {
            observer.accept("writes " + text);
            socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        }

        /** The next message or {@link #ENDED}; null if none comes. */
        String next() throws InterruptedException {
            return read.poll(PATIENCE_S, TimeUnit.SECONDS);
        }

        void reset() throws IOException {
            observer.accept("is reset from this side");
            if (!socket.isClosed()) {
                socket.setSoLinger(true, 0);
            }
            socket.close();
        }
    }

    /**
     * A loopback address of its own: scenarios run side by side, also in several processes, and a port that one gives back is
     * soon another's. What still connects there must meet nobody.
     */
    static InetAddress own() throws IOException {
        int n = GIVEN.getAndIncrement();
        int process = 2 + (int) (ProcessHandle.current().pid() % 90);
        return InetAddress.getByAddress(new byte[] {127, (byte) process, (byte) (n / 200 % 200), (byte) (1 + n % 200)});
    }

    static ServerSocket listen(InetAddress address, int port, Consumer<Socket> taken) throws IOException {
        ServerSocket server = new ServerSocket(port, 50, address);
        Thread t = new Thread(() -> {
            try {
                while (true) {
                    taken.accept(server.accept());
                }
            } catch (IOException e) {
                // closed
            }
        });
        t.setDaemon(true);
        t.start();
        return server;
    }

    static String address(ServerSocket server) {
        return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
    }

    static String answer(int code, String headers, String body) {
        return "HTTP/1.1 " + code + " x\r\n" + headers + "Content-Length: "
                + body.getBytes(StandardCharsets.UTF_8).length + "\r\n\r\n" + body;
    }

    private static String message(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        while (!bytes.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
            int b = in.read();
            if (b < 0) {
                return null;
            }
            bytes.write(b);
        }
        String head = bytes.toString(StandardCharsets.UTF_8);
        int length = head.lines()
                .filter(l -> l.regionMatches(true, 0, "Content-Length:", 0, 15))
                .mapToInt(l -> Integer.parseInt(l.substring(15).strip()))
                .findFirst()
                .orElse(0);
        return head + new String(in.readNBytes(length), StandardCharsets.UTF_8);
    }
}
