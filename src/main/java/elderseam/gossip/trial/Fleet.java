package elderseam.gossip.trial;

import elderseam.gossip.Ceiling;
import elderseam.gossip.Membership;
import elderseam.gossip.Message;
import elderseam.gossip.Rumour;
import elderseam.gossip.Standing;
import elderseam.gossip.Tempo;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * Members on a network of virtual time. Each event stands at a time and has a number, so that one seed gives one course; the
 * network, each member and the choice of delays draw from streams of their own.
 */
public final class Fleet {
    private static final long MS = 1_000_000;
    private static final int DATAGRAM = 1_400, HEAD = 110;   // bytes: a datagram's most; its signature, key, session, number

    private record Event(long at, long number, Runnable what) implements Comparable<Event> {
        @Override
        public int compareTo(Event o) {
            return at != o.at ? Long.compare(at, o.at) : Long.compare(number, o.number);
        }
    }

    /** A change that one member saw of another. */
    public record Change(long at, String by, String of, Standing standing) {}

    private final class Node {
        final String name;
        final int side;
        final long clockOff;
        Membership membership;
        Ceiling ceiling;
        long tickAt = Long.MAX_VALUE, lives, held, bytes, datagrams;
        boolean up, hung;
        final List<Runnable> whileHung = new ArrayList<>();

        Node(String name, int side, long clockOff) {
            this.name = name;
            this.side = side;
            this.clockOff = clockOff;
        }

        long now() {
            return time + clockOff;
        }
    }

    private final Tempo tempo;
    private final double loss, repeat;
    private final SplittableRandom seeds, network;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final Map<String, Node> nodes = new TreeMap<>();
    private final List<Change> changes = new ArrayList<>();
    private long time, numbers;
    private boolean parted;

    /** {@code loss}: share of datagrams that are lost; {@code repeat}: share that come twice. */
    public Fleet(int instances, Tempo tempo, double loss, double repeat, long seed) {
        this.tempo = tempo;
        this.loss = loss;
        this.repeat = repeat;
        this.seeds = new SplittableRandom(seed);
        this.network = seeds.split();
        for (int i = 0; i < instances; i++) {
            String name = String.format("n%04d", i);
            nodes.put(name, new Node(name, i % 2, (network.nextInt(240) - 120) * 1_000 * MS));   // clocks two minutes apart
        }
        nodes.values().forEach(n -> start(n, 0));
    }

    private void start(Node n, long incarnation) {
        n.up = true;
        n.hung = false;
        n.lives++;
        n.ceiling = new Ceiling(64 << 10, 100, n.now());
        String by = n.name;
        n.membership = new Membership(n.name, n.name, List.of("n0000", "n0001"), incarnation, tempo, n.now(), seeds.split(),
                (of, standing) -> changes.add(new Change(time, by, of, standing)));
        n.tickAt = Long.MAX_VALUE;
        flush(n);
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
        n.membership.leave();
        flush(n);
        n.up = false;
    }

    /** The even and the odd ones can't reach each other. */
    public void part(boolean parted) {
        this.parted = parted;
    }

    /** Lets so much time pass. */
    public void pass(long ns) {
        long end = time + ns;
        while (!events.isEmpty() && events.peek().at <= end) {
            Event e = events.poll();
            time = e.at;
            e.what.run();
        }
        time = end;
    }

    // ---------------------------------------------------------------- what is seen

    public long now() {
        return time;
    }

    /** The changes seen so far, oldest first. */
    public List<Change> changes() {
        return changes;
    }

    /** What one member holds of another, or null. */
    public Standing standing(String by, String of) {
        return nodes.get(by).membership.standing(of);
    }

    /** Whether each one that is up holds all others that are up for present, and nobody else. */
    public boolean agreed() {
        List<Node> up = nodes.values().stream().filter(n -> n.up).toList();
        return up.stream().allMatch(n -> n.membership.present() == up.size());
    }

    /** The first at which an {@link #agreed} fleet was seen within that time, looking every 100 ms; -1: never. */
    public long untilAgreed(long within) {
        long from = time;
        while (time - from <= within) {
            if (agreed()) {
                return time - from;
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

    // ---------------------------------------------------------------- the network

    private void at(long when, Runnable what) {
        events.add(new Event(when, numbers++, what));
    }

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
        for (Message.Sent s : n.membership.sent()) {
            int most = Math.min(DATAGRAM, n.ceiling.room(n.now())) - HEAD;
            List<Rumour> along = new ArrayList<>(s.first());
            if (most > 0) {
                along.addAll(n.membership.along(most - 32 * along.size()));
            }
            int size = HEAD + along.stream().mapToInt(Rumour::bytes).sum();
            if (n.ceiling.take(size, n.now())) {
                n.bytes += size;
                n.datagrams++;
                carry(n, nodes.get(s.to()), s.message(), along);
            }
        }
        for (String with : n.membership.syncs()) {
            exchange(n, nodes.get(with));
        }
        long next = n.membership.nextAt();
        if (next < Long.MAX_VALUE && (next < n.tickAt || n.tickAt < n.now())) {
            n.tickAt = next;
            long life = n.lives;
            at(Math.max(time, next - n.clockOff), () -> on(n, life, () -> {
                if (n.tickAt == next) {
                    n.tickAt = Long.MAX_VALUE;
                }
                n.membership.tick(n.now());
            }));
        }
    }

    private boolean apart(Node a, Node b) {
        return parted && a.side != b.side;
    }

    private long delay() {
        return (long) (MS * (0.5 + 4 * network.nextDouble() * network.nextDouble()));   // now and then one overtakes another
    }

    private void carry(Node from, Node to, Message message, List<Rumour> along) {
        int copies = network.nextDouble() < repeat ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            boolean lost = network.nextDouble() < loss;
            long at = time + delay();
            if (!lost && to != null && !apart(from, to)) {
                at(at, () -> on(to, to.lives, () -> {
                    along.forEach(r -> to.membership.hear(r, to.now()));
                    to.membership.receive(from.name, message, to.now());
                }));
            }
        }
    }

    /** Over a connection: whole or not at all. */
    private void exchange(Node a, Node b) {
        if (b == null || b == a || !b.up || b.hung || apart(a, b)) {
            return;
        }
        List<Rumour> states = a.membership.state();
        a.bytes += states.size() * 32L;
        long lifeA = a.lives;
        at(time + delay(), () -> on(b, b.lives, () -> {
            b.membership.merge(states, b.now());
            List<Rumour> back = b.membership.state();
            b.bytes += back.size() * 32L;
            at(time + delay(), () -> on(a, lifeA, () -> a.membership.merge(back, a.now())));
        }));
    }
}
