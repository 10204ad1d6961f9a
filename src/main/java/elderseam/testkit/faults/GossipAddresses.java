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

/** Where a cluster's members gossip: each one's key, its line of the roster, and what stands before it for connections and datagrams. */
final class GossipAddresses implements Closeable {
    private static final int PORT = 9_500;

    private record Place(int number, String line, FaultProxy connections, DatagramProxy datagrams) {}

    private final LinkTable network;
    private final Path folder;
    private final String place;
    private final Supplier<Map<String, Long>> pids;
    private final Map<String, Place> places = new LinkedHashMap<>();
    private final Map<SocketAddress, String> speakers =
            new ConcurrentHashMap<>(); // of datagrams: where each speaks from

    /** {@code folder}: the cluster's; {@code place}: the loopback address on which members listen. */
    GossipAddresses(LinkTable network, Path folder, String place, Supplier<Map<String, Long>> pids) {
        this.network = network;
        this.folder = folder;
        this.place = place;
        this.pids = pids;
    }

    void add(String name, int number) throws IOException {
        InetSocketAddress at = new InetSocketAddress(place, PORT + number);
        FaultProxy connections = new FaultProxy(network, name, at, pids);
        speakers.put(at, name);
        places.put(
                name,
                new Place(
                        number,
                        name + " 127.0.0.0/8 "
                                + KeyFile.create(folder.resolve(name).resolve("key"))
                                        .publicKeyText(),
                        connections,
                        new DatagramProxy(network, name, connections.address().getPort(), at, speakers)));
    }

    /** The roster of all, once all are there. */
    void roster() throws IOException {
        Files.write(
                folder.resolve("roster"),
                places.values().stream().map(Place::line).toList());
    }

    private static String address(Place p) {
        return "127.0.0.1:" + p.connections.address().getPort();
    }

    /** A member's [gossip], its end included. */
    String settings(String name) {
        Place own = places.get(name);
        String seeds = String.join(
                " ",
                places.values().stream()
                        .filter(p -> !p.equals(own))
                        .map(GossipAddresses::address)
                        .toList());
        return "[gossip]\nlisten = " + place + ":" + (PORT + own.number) + "\nadvertise = " + address(own) + "\nname = "
                + name + "\nkey_file = " + folder.resolve(name).resolve("key") + "\nroster = "
                + folder.resolve("roster") + "\nseeds = " + seeds + "\n";
    }

    void reset() {
        places.values().forEach(p -> p.connections.reset());
    }

    @Override
    public void close() throws IOException {
        for (Place p : places.values()) {
            p.connections.close();
            p.datagrams.close();
        }
    }
}
