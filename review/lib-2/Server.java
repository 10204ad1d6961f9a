package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A stand-in that serves HTTP/1.1 on a loopback address, a thread for each connection. */
class Server {
    /** One connection's side of an answer. */
    static final class Link {
        final Socket socket;
        private final OutputStream out;

        Link(Socket socket) throws IOException {
            this.socket = socket;
            this.out = socket.getOutputStream();
        }

        synchronized void answer(int status, Map<String, String> headers, String body) throws IOException {
            out.write(Http.answer(status, headers, body));
            out.flush();
        }

        void answer(int status) throws IOException {
            answer(status, Map.of(), "");
        }

        /** Ends the connection with a reset. */
        void reset() {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException e) {
                // it has gone already
            }
        }
    }

    /** Handles a request on the connection's thread. */
    interface Handler {
        void handle(Http request, Link link) throws IOException, InterruptedException;
    }

    private final ServerSocket server;
    private final Handler handler;
    final Set<Link> links = ConcurrentHashMap.newKeySet();

    Server(Handler handler) throws IOException {
        this.handler = handler;
        server = new ServerSocket();
        server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 256);
        daemon(this::accept);
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Accepts no more connections; those that are open stay. */
    void stopAccepting() throws IOException {
        server.close();
    }

    void resetAll() {
        links.forEach(Link::reset);
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                daemon(() -> serve(socket));
            }
        } catch (IOException e) {
            // closed
        }
    }

    private void serve(Socket socket) {
        Link link = null;
        try (socket) {
            link = new Link(socket);
            links.add(link);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (Http request = Http.read(in); request != null; request = Http.read(in)) {
                handler.handle(request, link);
            }
        } catch (IOException e) {
            // the other side has gone
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            if (link != null) {
                links.remove(link);
            }
        }
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
