package elderseam.testkit.faults;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

/**
 * The address at which one party is reached by all others: each connection is forwarded to where that party listens, as far as
 * the {@link LinkTable} lets it. It takes two threads a connection; a fleet of sixteen has some hundreds.
 */
final class FaultProxy implements Closeable {
    private static final int CHUNK_BYTES = 16 << 10;
    private static final int BACKLOG = 128;
    private static final byte[] LOOPBACK = {127, 0, 0, 1};

    private final LinkTable links;
    private final String to;
    private final InetSocketAddress target;
    private final Supplier<Map<String, Long>> pids;
    private final ServerSocket server;
    private final Set<Socket> openSockets = ConcurrentHashMap.newKeySet();

    /**
     * Listens on a free port of the loopback.
     *
     * @param to the party's name in {@code links}
     * @param target where the party listens
     * @param pids the processes' ids by name, by which the sender of a connection is found
     */
    FaultProxy(LinkTable links, String to, InetSocketAddress target, Supplier<Map<String, Long>> pids)
            throws IOException {
        this.links = links;
        this.to = to;
        this.target = target;
        this.pids = pids;
        server = new ServerSocket(0, BACKLOG, InetAddress.getByAddress(LOOPBACK));
        start("accept", this::accept);
    }

    /** Where others reach the party. */
    InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    private Thread start(String what, Runnable run) {
        Thread thread = new Thread(run, "proxy-" + to + "-" + what);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                start("link", () -> forward(socket));
            } catch (IOException e) {
                // closed, or a connection that was gone before it was taken
            }
        }
    }

    private void forward(Socket in) {
        Socket out = new Socket();
        openSockets.add(in);
        openSockets.add(out);
        try {
            in.setTcpNoDelay(true);
            String from = SocketOwner.find(in.getPort(), server.getLocalPort(), pids.get());
            links.awaitOpen(from, to); // a connection comes up only over an open link
            links.awaitOpen(to, from);
            out.setTcpNoDelay(true);
            out.connect(target);
            Thread back = start("back", () -> copy(out, in, to, from));
            copy(in, out, from, to);
            back.join(); // each direction ends by itself
            openSockets.remove(in);
            openSockets.remove(out);
            in.close();
            out.close();
        } catch (IOException | InterruptedException e) {
            reset(in);
            reset(out);
        }
    }

    private void copy(Socket from, Socket to, String sender, String receiver) {
        byte[] chunk = new byte[CHUNK_BYTES];
        try {
            for (int length; (length = from.getInputStream().read(chunk)) >= 0; ) {
                links.awaitOpen(sender, receiver);
                to.getOutputStream().write(chunk, 0, length);
            }
            links.awaitOpen(sender, receiver); // the end of a process shows no sooner than its bytes would
            to.shutdownOutput();
        } catch (IOException | InterruptedException e) {
            reset(from);
            reset(to);
        }
    }

    /** Resets every connection that is open here. */
    void reset() {
        Set.copyOf(openSockets).forEach(this::reset);
    }

    private void reset(Socket socket) {
        openSockets.remove(socket);
        try {
            socket.setSoLinger(true, 0);
        } catch (IOException e) {
            // closed already
        }
        try {
            socket.close();
        } catch (IOException e) {
            // as good as closed
        }
    }

    /** Stops accepting, and resets every connection. */
    @Override
    public void close() throws IOException {
        server.close();
        reset();
    }
}
