package elderseam.testkit.faults;

import java.io.Closeable;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * The address at which one party's datagrams are reached, beside its {@link FaultProxy} on the same port. A datagram on a cut
 * link is lost, as is each that the {@link LinkTable} draws; one that is delayed may be overtaken. Who sends is told by the
 * address it sends from, since a party's datagrams leave from where it listens. Answers to where a datagram seemed to come from
 * go back the same way, so each sender has a socket of its own here; a thread a socket.
 */
final class DatagramProxy implements Closeable {
    private static final int LONGEST = 2_048;

    private final LinkTable network;
    private final String to;
    private final InetSocketAddress target;
    private final Map<SocketAddress, String> names;
    private final DatagramSocket front;
    private final Map<String, DatagramSocket> backs = new ConcurrentHashMap<>();
    private final ScheduledExecutorService late;

    /** At {@code port} of 127.0.0.1, for {@code to} which listens at {@code target}; {@code names}: who sends from where. */
    DatagramProxy(LinkTable network, String to, int port, InetSocketAddress target, Map<SocketAddress, String> names)
            throws IOException {
        this.network = network;
        this.to = to;
        this.target = target;
        this.names = names;
        front = new DatagramSocket(port, InetAddress.getByAddress(new byte[] {127, 0, 0, 1}));
        late = Executors.newSingleThreadScheduledExecutor(r -> daemon(r, "late"));
        daemon(() -> pump(front, this::arrived), "front").start();
    }

    InetSocketAddress address() {
        return (InetSocketAddress) front.getLocalSocketAddress();
    }

    private interface Arrival {
        void take(byte[] bytes, SocketAddress from) throws IOException;
    }

    private Thread daemon(Runnable run, String what) {
        Thread t = new Thread(run, "datagrams-" + to + "-" + what);
        t.setDaemon(true);
        return t;
    }

    private void pump(DatagramSocket socket, Arrival arrival) {
        DatagramPacket p = new DatagramPacket(new byte[LONGEST], LONGEST);
        while (!socket.isClosed()) {
            try {
                p.setLength(LONGEST);
                socket.receive(p);
                arrival.take(java.util.Arrays.copyOf(p.getData(), p.getLength()), p.getSocketAddress());
            } catch (IOException e) {
                // closed, or an ICMP error for an earlier datagram
            }
        }
    }

    private void arrived(byte[] bytes, SocketAddress from) throws IOException {
        String sender = names.getOrDefault(from, "");
        DatagramSocket back = backs.get(sender);
        if (back == null) {
            back = new DatagramSocket(0, InetAddress.getByAddress(new byte[] {127, 0, 0, 1}));
            backs.put(sender, back);
            DatagramSocket one = back;
            daemon(() -> pump(one, (answer, target) -> pass(to, sender, front, answer, from)), "back-" + sender)
                    .start();
        }
        pass(sender, to, back, bytes, target);
    }

    private void pass(String sender, String receiver, DatagramSocket by, byte[] bytes, SocketAddress at) {
        if (!network.datagram(sender, receiver)) {
            return;
        }
        ScheduledFuture<?> unused = late.schedule(
                () -> {
                    try {
                        by.send(new DatagramPacket(bytes, bytes.length, at));
                    } catch (IOException e) {
                        // nobody listens there just now: lost, as datagrams are
                    }
                },
                network.delayMs(),
                TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        late.shutdownNow();
        front.close();
        backs.values().forEach(DatagramSocket::close);
    }
}
