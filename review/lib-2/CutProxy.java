package review2;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The address at which a member of a fleet is reached by the others. While a member is cut off, connections from it and to it
 * stay open and silent, and new ones are never answered; what was open in the cut is reset at its end.
 */
final class CutProxy {
    private final String member;
    private final int target;
    private final Map<String, Long> pids;
    private final Set<String> cut;
    private final ServerSocket server;

    /**
     * @param target the port where the member listens
     * @param pids of the members' processes, by name
     * @param cut the members that are cut off; shared by all proxies
     */
    CutProxy(String member, int target, Map<String, Long> pids, Set<String> cut) throws IOException {
        this.member = member;
        this.target = target;
        this.pids = pids;
        this.cut = cut;
        server = new ServerSocket();
        server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 128);
        Server.daemon(this::accept);
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    private void accept() {
        try {
            while (true) {
                Socket from = server.accept();
                Server.daemon(() -> join(from));
            }
        } catch (IOException e) {
            // closed
        }
    }

    private void join(Socket from) {
        String sender = sender(from.getPort());
        awaitJoined(sender);
        try {
            Socket to = new Socket("127.0.0.1", target);
            to.setTcpNoDelay(true);
            from.setTcpNoDelay(true);
            Server.daemon(() -> pump(from, to, sender));
            pump(to, from, sender);
        } catch (IOException e) {
            close(from);
        }
    }

    private boolean isCut(String sender) {
        return cut.contains(member) != cut.contains(sender);
    }

    private void awaitJoined(String sender) {
        while (isCut(sender)) {
            try {
                Thread.sleep(20);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private void pump(Socket from, Socket to, String sender) {
        byte[] buffer = new byte[16 << 10];
        try (from; to) {
            InputStream in = from.getInputStream();
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                if (isCut(sender)) {
                    awaitJoined(sender);
                    return; // the end of the cut resets it
                }
                to.getOutputStream().write(buffer, 0, count);
            }
        } catch (IOException e) {
            // one side has gone
        }
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // it has gone
        }
    }

    /** The member whose process has the socket with this local port, by /proc; empty if it is none of them. */
    private String sender(int port) {
        try {
            String inode = inode(port);
            for (Map.Entry<String, Long> process : pids.entrySet()) {
                if (hasSocket(process.getValue(), "socket:[" + inode + "]")) {
                    return process.getKey();
                }
            }
        } catch (IOException e) {
            // a process that has ended
        }
        return "";
    }

    private String inode(int port) throws IOException {
        String local = String.format(":%04X", port);
        String remote = String.format(":%04X", server.getLocalPort());
        for (String table : List.of("/proc/net/tcp", "/proc/net/tcp6")) {
            for (String line : Files.readAllLines(Path.of(table))) {
                String[] fields = line.strip().split("\\s+");
                if (fields.length > 9 && fields[1].endsWith(local) && fields[2].endsWith(remote)) {
                    return fields[9];
                }
            }
        }
        return "none";
    }

    private static boolean hasSocket(long pid, String name) throws IOException {
        try (DirectoryStream<Path> descriptors = Files.newDirectoryStream(Path.of("/proc/" + pid + "/fd"))) {
            for (Path descriptor : descriptors) {
                if (isLinkTo(descriptor, name)) {
                    return true;
                }
            }
        }
        return false;
    }

    private static boolean isLinkTo(Path descriptor, String name) {
        try {
            return Files.readSymbolicLink(descriptor).toString().equals(name);
        } catch (IOException e) {
            return false; // closed meanwhile
        }
    }

    /** An empty set of members that are cut off. */
    static Set<String> nobody() {
        return ConcurrentHashMap.newKeySet();
    }
}
