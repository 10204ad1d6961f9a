package elderseam.testkit.ordering;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A listener on loopback with a daemon thread for each connection. */
final class LoopbackServer implements AutoCloseable {
    /** Serves one connection until it ends. */
    interface Service {
        void serve(HttpConnection connection) throws IOException;
    }

    private static final int BACKLOG = 256;

    private final ServerSocket listener;
    private final Service service;
    private final Set<HttpConnection> connections = ConcurrentHashMap.newKeySet();

    LoopbackServer(InetAddress address, Service service) throws IOException {
        this.listener = new ServerSocket(0, BACKLOG, address);
        this.service = service;
        start(this::accept);
    }

    /** Its address as {@code HOST:PORT}. */
    String address() {
        return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task, "ordering-stand-in");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                HttpConnection connection = new HttpConnection(socket);
                connections.add(connection);
                start(() -> serve(connection));
            }
        } catch (IOException e) {
            // closed
        }
    }

    private void serve(HttpConnection connection) {
        try (connection) {
            service.serve(connection);
        } catch (IOException e) {
            // the dispatcher is gone
        } finally {
            connections.remove(connection);
        }
    }

    /** Accepts no further connections; open ones are served on. */
    void stopAccepting() throws IOException {
        listener.close();
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (HttpConnection connection : connections) {
            connection.close();
        }
    }
}
