package elderseam.testkit.gossip;

import elderseam.gossip.Advice;
import elderseam.gossip.GossipAgent;
import elderseam.gossip.GossipTimings;
import elderseam.gossip.HealthReport;
import elderseam.gossip.LocalMember;
import elderseam.gossip.MemberState;
import elderseam.gossip.OwnBreaker;
import elderseam.gossip.Packet;
import elderseam.gossip.PacketCodec;
import elderseam.gossip.PeerVerifier;
import elderseam.gossip.SendRateLimiter;
import elderseam.testkit.emulator.VirtualTime;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * Members on a network of virtual time. Each event stands at a time and has a number, so that one seed gives one course; the
 * network, each member and the choice of delays draw from streams of their own.
 */
public final class SimulatedFleet {
    private static final long MS = 1_000_000;
    private static final int HEAD = 110; // bytes of an envelope with a short name: seal, key, token, number, clock
    private static final long LOOK_NS = 250 * MS;

    /** What a node's dispatcher tells of its breakers, and is told of others'. */
    interface Dispatching {
        List<OwnBreaker> own();

        void advise(long destination, Advice word);
    }

    /** Keys that cost nothing; that nobody here forges is the network's doing. */
    private static final PeerVerifier TRUST = new PeerVerifier() {
        @Override
        public int keyId() {
            return 1;
        }

        @Override
        public byte[] sign(byte[] bytes) {
            return new byte[64];
        }

        @Override
        public boolean isSignatureValid(String name, int key, byte[] bytes, byte[] seal) {
            return true;
        }

        @Override
        public boolean isAddressAllowed(String name, String address) {
            return name.equals(address);
        }
    };

    /** A change that one member saw of another. */
    public record Change(long at, String by, String of, MemberState standing) {}

    private final class Node {
        final String name;
        final int side;
        final long clockOff;
        GossipAgent agent;
        Dispatching dispatching;
        long tickAt = Long.MAX_VALUE;
        long lives;
        long bytes;
        long datagrams;
        boolean up;
        boolean hung;
        final List<Runnable> whileHung = new ArrayList<>();

        Node(String name, int side, long clockOff) {
            this.name = name;
            this.side = side;
            this.clockOff = clockOff;
        }

        long now() {
            return time.now() + clockOff;
        }

        long wallMs() {
            return now() / MS;
        }
    }

    private final GossipTimings tempo;
    private final double loss;
    private final double repeat;
    private final SplittableRandom seeds;
    private final SplittableRandom network;
    private final VirtualTime time;
    private final Map<String, Node> nodes = new TreeMap<>();
    private final List<Change> changes = new ArrayList<>();
    private boolean parted;

    /** {@code loss}: share of datagrams that are lost; {@code repeat}: share that come twice. */
    public SimulatedFleet(int instances, GossipTimings tempo, double loss, double repeat, long seed) {
        this(new VirtualTime(), instances, tempo, loss, repeat, seed);
    }

    SimulatedFleet(VirtualTime time, int instances, GossipTimings tempo, double loss, double repeat, long seed) {
        this.time = time;
        this.tempo = tempo;
        this.loss = loss;
        this.repeat = repeat;
        this.seeds = new SplittableRandom(seed);
        this.network = seeds.split();
        for (int i = 0; i < instances; i++) {
            String name = String.format("n%04d", i);
            nodes.put(
                    name,
                    new Node(name, i % 2, (network.nextInt(240) - 120) * 1_000L * MS)); // clocks two minutes apart
        }
        nodes.values().forEach(n -> start(n, 0));
    }

    private void start(Node n, long incarnation) {
        n.up = true;
        n.hung = false;
        n.lives++;
        String by = n.name;
        n.agent = new GossipAgent(
                new LocalMember(n.name, n.name, List.of("n0000", "n0001"), incarnation),
                tempo,
                new SendRateLimiter(64 << 10, 100, n.now()),
                TRUST,
                n.now(),
                seeds.split(),
                (of, standing) -> changes.add(new Change(time.now(), by, of, standing)));
        n.tickAt = Long.MAX_VALUE;
        flush(n);
    }

    /** Ties a node to a dispatcher, whose breakers it looks at four times a second. */
    void tie(String name, Dispatching dispatching) {
        Node n = nodes.get(name);
        n.dispatching = dispatching;
        look(n, time.now() + (long) (LOOK_NS * network.nextDouble()));
    }

    private void look(Node n, long at) {
        time.at(at, () -> {
            if (n.up && !n.hung) {
                n.agent.updateReports(n.dispatching.own(), n.dispatching::advise, n.now(), n.wallMs());
                flush(n);
            }
            look(n, at + LOOK_NS);
        });
    }

    /** One node says of a destination that it is down; after how long all that are up hold that claim, -1: not within that time. */
    public long untilAllHear(String from, long destination, long within) {
        long start = time.now();
        tie(from, new Dispatching() {
            @Override
            public List<OwnBreaker> own() {
                return List.of(new OwnBreaker(destination, HealthReport.State.OPEN, 0, 20, 20));
            }

            @Override
            public void advise(long of, Advice word) {
                // what others say is not the matter here
            }
        });
        for (; time.now() - start <= within; pass(10 * MS)) {
            if (nodes.values().stream()
                    .filter(n -> n.up)
                    .allMatch(n -> !n.agent.currentReports(destination, n.now()).isEmpty())) {
                return time.now() - start;
            }
        }
        return -1;
    }

    // ---------------------------------------------------------------- what a test does to it

    /** Ends a member's process without a word. */
    public void kill(String name) {
        nodes.get(name).up = false;
    }

    /** Starts it again, with that incarnation. */
    public void restart(String name, long incarnation) {
        start(nodes.get(name), incarnation);
    }

    /** Stops it with its sockets open; what arrives waits. */
    public void hang(String name) {
        nodes.get(name).hung = true;
    }

    public void resume(String name) {
        Node n = nodes.get(name);
        n.hung = false;
        List<Runnable> waiting = List.copyOf(n.whileHung);
        n.whileHung.clear();
        waiting.forEach(Runnable::run);
        flush(n);
    }

    public void leave(String name) {
        Node n = nodes.get(name);
        n.agent.leave();
        flush(n);
        n.up = false;
    }

    /** The even and the odd ones can't reach each other. */
    public void part(boolean parted) {
        this.parted = parted;
    }

    /** Lets so much time pass. */
    public void pass(long ns) {
        time.pass(ns);
    }

    // ---------------------------------------------------------------- what is seen

    public long now() {
        return time.now();
    }

    /** The changes seen so far, oldest first. */
    public List<Change> changes() {
        return changes;
    }

    /** What one member holds of another, or null. */
    public MemberState standing(String by, String of) {
        return nodes.get(by).agent.membership().stateOf(of).orElse(null);
    }

    /** Whether each one that is up holds all others that are up for present, and nobody else. */
    public boolean agreed() {
        List<Node> up = nodes.values().stream().filter(n -> n.up).toList();
        return up.stream().allMatch(n -> n.agent.membership().presentCount() == up.size());
    }

    /** The first at which an {@link #agreed} fleet was seen within that time, looking every 100 ms; -1: never. */
    public long untilAgreed(long within) {
        long from = time.now();
        while (time.now() - from <= within) {
            if (agreed()) {
                return time.now() - from;
            }
            pass(100 * MS);
        }
        return -1;
    }

    /** Bytes and datagrams that a member sent since the last look, one pair for each. */
    public Map<String, long[]> traffic() {
        Map<String, long[]> all = new HashMap<>();
        nodes.forEach((name, n) -> {
            all.put(name, new long[] {n.bytes, n.datagrams});
            n.bytes = n.datagrams = 0;
        });
        return all;
    }

    /** How many claims of a destination count for one member. */
    public int claims(String by, long destination) {
        Node n = nodes.get(by);
        return n.agent.currentReports(destination, n.now()).size();
    }

    // ---------------------------------------------------------------- the network

    /** Runs when the member runs; never for a life that is over. */
    private void on(Node n, long life, Runnable what) {
        if (n.up && n.lives == life) {
            if (n.hung) {
                n.whileHung.add(() -> on(n, life, what));
            } else {
                what.run();
                flush(n);
            }
        }
    }

    private void flush(Node n) {
        for (GossipAgent.Outgoing o : n.agent.drainDatagrams(n.now())) {
            n.bytes += HEAD + o.packet().length;
            n.datagrams++;
            carry(n, nodes.get(o.address()), o.packet());
        }
        for (String with : n.agent.drainStateExchanges()) {
            exchange(n, nodes.get(with));
        }
        long next = n.agent.nextTickNs();
        if (next < Long.MAX_VALUE && (next < n.tickAt || n.tickAt < n.now())) {
            n.tickAt = next;
            long life = n.lives;
            time.at(
                    next - n.clockOff,
                    () -> on(n, life, () -> {
                        if (n.tickAt == next) {
                            n.tickAt = Long.MAX_VALUE;
                        }
                        n.agent.tick(n.now());
                    }));
        }
    }

    private boolean apart(Node a, Node b) {
        return parted && a.side != b.side;
    }

    private long delay() {
        return (long)
                (MS * (0.5 + 4 * network.nextDouble() * network.nextDouble())); // now and then one overtakes another
    }

    private void carry(Node from, Node to, byte[] bytes) {
        long wall = from.wallMs();
        int copies = network.nextDouble() < repeat ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            boolean lost = network.nextDouble() < loss;
            long at = time.now() + delay();
            if (!lost && to != null && !apart(from, to)) {
                time.at(
                        at,
                        () -> on(
                                to,
                                to.lives,
                                () -> to.agent.receive(
                                        from.name,
                                        PacketCodec.decode(ByteBuffer.wrap(bytes)),
                                        to.now(),
                                        to.wallMs(),
                                        wall)));
            }
        }
    }

    /** Over a connection: whole or not at all. */
    private void exchange(Node a, Node b) {
        if (b == null || b == a || !b.up || b.hung || apart(a, b)) {
            return;
        }
        Packet states = a.agent.fullState(false, a.now());
        a.bytes += whole(states);
        long lifeA = a.lives;
        long wall = a.wallMs();
        time.at(
                time.now() + delay(),
                () -> on(b, b.lives, () -> {
                    Packet back = b.agent
                            .receive(a.name, states, b.now(), b.wallMs(), wall)
                            .orElseThrow();
                    b.bytes += whole(back);
                    long backWall = b.wallMs();
                    time.at(
                            time.now() + delay(),
                            () -> on(a, lifeA, () -> a.agent.receive(b.name, back, a.now(), a.wallMs(), backWall)));
                }));
    }

    private static long whole(Packet p) {
        return (long) HEAD
                + p.updates().stream().mapToInt(r -> r.maxEncodedBytes()).sum()
                + p.reports().stream().mapToInt(c -> c.encodedBytes()).sum();
    }
}
