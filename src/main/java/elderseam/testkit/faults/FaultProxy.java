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
 * The address at which one party is reached by all others: each connection is led on to where that party listens, as far as
 * the {@link LinkTable} lets it. Two threads a connection; a fleet of sixteen has some hundreds.
 */
final class FaultProxy implements Closeable {
    private static final int CHUNK = 16 << 10;

    private final LinkTable network;
    private final String to;
    private final InetSocketAddress target;
    private final Supplier<Map<String, Long>> pids;
    private final ServerSocket server;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();

    FaultProxy(LinkTable network, String to, InetSocketAddress target, Supplier<Map<String, Long>> pids)
            throws IOException {
        this.network = network;
        this.to = to;
        this.target = target;
        this.pids = pids;
        server = new ServerSocket(0, 128, InetAddress.getByAddress(new byte[] {127, 0, 0, 1}));
        start("accept", this::accept);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    private Thread start(String what, Runnable run) {
        Thread t = new Thread(run, "proxy-" + to + "-" + what);
        t.setDaemon(true);
        t.start();
        return t;
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                start("link", () -> lead(socket));
            } catch (IOException e) {
                // closed, or a connection that was gone before it was taken
            }
        }
    }

    private void lead(Socket in) {
        Socket out = new Socket();
        open.add(in);
        open.add(out);
        try {
            in.setTcpNoDelay(true);
            String from = SocketOwner.find(in.getPort(), server.getLocalPort(), pids.get());
            network.pass(from, to); // a connection comes up only over an open link
            network.pass(to, from);
            out.setTcpNoDelay(true);
            out.connect(target);
            Thread back = start("back", () -> pump(out, in, to, from));
            pump(in, out, from, to);
            back.join(); // each way ends by itself
            open.remove(in);
            open.remove(out);
            in.close();
            out.close();
        } catch (IOException | InterruptedException e) {
            reset(in);
            reset(out);
        }
    }

    private void pump(Socket from, Socket to, String sender, String receiver) {
        byte[] chunk = new byte[CHUNK];
        try {
            for (int n; (n = from.getInputStream().read(chunk)) >= 0; ) {
                network.pass(sender, receiver);
                to.getOutputStream().write(chunk, 0, n);
            }
            network.pass(sender, receiver); // the end of a process shows no sooner than its bytes would
            to.shutdownOutput();
        } catch (IOException | InterruptedException e) {
            reset(from);
            reset(to);
        }
    }

    /** Resets every connection that is open here. */
    void reset() {
        Set.copyOf(open).forEach(this::reset);
    }

    private void reset(Socket s) {
        open.remove(s);
        try {
            s.setSoLinger(true, 0);
        } catch (IOException e) {
            // closed already
        }
        try {
            s.close();
        } catch (IOException e) {
            // as good as closed
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
        reset();
    }
}
