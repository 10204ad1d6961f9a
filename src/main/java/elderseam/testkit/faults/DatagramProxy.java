package elderseam.testkit.faults;

import java.io.Closeable;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.Arrays;
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
    private static final int MAX_BYTES = 2_048;
    private static final byte[] LOOPBACK = {127, 0, 0, 1};

    private final LinkTable links;
    private final String to;
    private final InetSocketAddress target;
    private final Map<SocketAddress, String> senders;
    private final DatagramSocket front; // receives what others send to the party
    private final Map<String, DatagramSocket> backs = new ConcurrentHashMap<>(); // by sender; to and from the party
    private final ScheduledExecutorService delayed;

    /**
     * Receives at a port of 127.0.0.1.
     *
     * @param to the party's name in {@code links}
     * @param target where the party listens
     * @param senders the other parties' names, by the address that each sends from
     */
    DatagramProxy(LinkTable links, String to, int port, InetSocketAddress target, Map<SocketAddress, String> senders)
            throws IOException {
        this.links = links;
        this.to = to;
        this.target = target;
        this.senders = senders;
        front = new DatagramSocket(port, InetAddress.getByAddress(LOOPBACK));
        delayed = Executors.newSingleThreadScheduledExecutor(r -> daemon(r, "late"));
        daemon(() -> receiveAll(front, this::forward), "front").start();
    }

    /** Where others reach the party. */
    InetSocketAddress address() {
        return (InetSocketAddress) front.getLocalSocketAddress();
    }

    /** What is done with a datagram that was received. */
    private interface Receiver {
        void receive(byte[] bytes, SocketAddress from) throws IOException;
    }

    private Thread daemon(Runnable run, String what) {
        Thread thread = new Thread(run, "datagrams-" + to + "-" + what);
        thread.setDaemon(true);
        return thread;
    }

    private void receiveAll(DatagramSocket socket, Receiver receiver) {
        DatagramPacket packet = new DatagramPacket(new byte[MAX_BYTES], MAX_BYTES);
        while (!socket.isClosed()) {
            try {
                packet.setLength(MAX_BYTES);
                socket.receive(packet);
                receiver.receive(Arrays.copyOf(packet.getData(), packet.getLength()), packet.getSocketAddress());
            } catch (IOException e) {
                // closed, or an ICMP error for an earlier datagram
            }
        }
    }

    private void forward(byte[] bytes, SocketAddress from) throws IOException {
        String sender = senders.getOrDefault(from, "");
        DatagramSocket back = backs.get(sender);
        if (back == null) {
            back = new DatagramSocket(0, InetAddress.getByAddress(LOOPBACK));
            backs.put(sender, back);
            DatagramSocket answers = back;
            daemon(
                            () -> receiveAll(answers, (answer, party) -> send(to, sender, front, answer, from)),
                            "back-" + sender)
                    .start();
        }
        send(sender, to, back, bytes, target);
    }

    private void send(String sender, String receiver, DatagramSocket socket, byte[] bytes, SocketAddress destination) {
        if (!links.deliversDatagram(sender, receiver)) {
            return;
        }
        ScheduledFuture<?> unused = delayed.schedule(
                () -> {
                    try {
                        socket.send(new DatagramPacket(bytes, bytes.length, destination));
                    } catch (IOException e) {
                        // nobody listens there just now: lost, as datagrams are
                    }
                },
                links.delayMs(),
                TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        delayed.shutdownNow();
        front.close();
        backs.values().forEach(DatagramSocket::close);
    }
}
