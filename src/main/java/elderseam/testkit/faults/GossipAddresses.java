package elderseam.testkit.faults;

import elderseam.gossip.security.KeyFile;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

/** Where a cluster's members gossip: each one's key, its line of the roster, and the proxies for its connections and datagrams. */
final class GossipAddresses implements Closeable {
    private static final int FIRST_PORT = 9_500;
    private static final String ROSTER_FILE = "roster";
    private static final String KEY_FILE = "key";
    private static final String ADMITTED_ADDRESSES = "127.0.0.0/8";

    private record Endpoint(int number, String rosterLine, FaultProxy connections, DatagramProxy datagrams) {}

    private final LinkTable links;
    private final Path folder;
    private final String loopback;
    private final Supplier<Map<String, Long>> pids;
    private final Map<String, Endpoint> endpoints = new LinkedHashMap<>();
    private final Map<SocketAddress, String> senders =
            new ConcurrentHashMap<>(); // members, by the address that their datagrams come from

    /** {@code folder}: the cluster's; {@code loopback}: the loopback address on which members listen. */
    GossipAddresses(LinkTable links, Path folder, String loopback, Supplier<Map<String, Long>> pids) {
        this.links = links;
        this.folder = folder;
        this.loopback = loopback;
        this.pids = pids;
    }

    /** Creates a member's key and its proxies; its folder exists. */
    void add(String name, int number) throws IOException {
        InetSocketAddress listen = new InetSocketAddress(loopback, FIRST_PORT + number);
        FaultProxy connections = new FaultProxy(links, name, listen, pids);
        senders.put(listen, name);
        endpoints.put(
                name,
                new Endpoint(
                        number,
                        name + " " + ADMITTED_ADDRESSES + " "
                                + KeyFile.create(folder.resolve(name).resolve(KEY_FILE))
                                        .publicKeyText(),
                        connections,
                        new DatagramProxy(links, name, connections.address().getPort(), listen, senders)));
    }

    /** Writes the roster, once all members are added. */
    void writeRoster() throws IOException {
        Files.write(
                folder.resolve(ROSTER_FILE),
                endpoints.values().stream().map(Endpoint::rosterLine).toList());
    }

    private static String address(Endpoint endpoint) {
        return "127.0.0.1:" + endpoint.connections.address().getPort();
    }

    /** A member's [gossip] section, its last line's end included. */
    String settings(String name) {
        Endpoint own = endpoints.get(name);
        String seeds = String.join(
                " ",
                endpoints.values().stream()
                        .filter(endpoint -> !endpoint.equals(own))
                        .map(GossipAddresses::address)
                        .toList());
        return "[gossip]\nlisten = " + loopback + ":" + (FIRST_PORT + own.number) + "\nadvertise = " + address(own)
                + "\nname = "
                + name + "\nkey_file = " + folder.resolve(name).resolve(KEY_FILE) + "\nroster = "
                + folder.resolve(ROSTER_FILE) + "\nseeds = " + seeds + "\n";
    }

    /** Resets every connection between members. */
    void reset() {
        endpoints.values().forEach(endpoint -> endpoint.connections.reset());
    }

    @Override
    public void close() throws IOException {
        for (Endpoint endpoint : endpoints.values()) {
            endpoint.connections.close();
            endpoint.datagrams.close();
        }
    }
}
