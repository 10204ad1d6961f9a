package elderseam.gossip.transport;

import elderseam.gossip.GossipAgent;
import elderseam.gossip.GossipTimings;
import elderseam.gossip.HealthReport;
import elderseam.gossip.MemberState;
import elderseam.gossip.MembershipUpdate;
import elderseam.gossip.Packet;
import elderseam.gossip.PacketCodec;
import elderseam.gossip.SendRateLimiter;
import elderseam.gossip.security.Keyring;
import elderseam.gossip.security.PacketAuthenticator;
import elderseam.gossip.security.Roster;
import elderseam.http.IoLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * One instance on its sockets: what comes goes through the door to the agent, what the agent sends through the door to the
 * sockets; four times a second the agent looks at the own breakers. Owned by the I/O thread.
 */
public final class GossipTransport {
    /** Where and as whom it speaks. {@code advertise}: the address that others are told, empty for the one it listens on. */
    public record Place(
            String name,
            InetSocketAddress listen,
            String advertise,
            List<String> seeds,
            double bytesPerS,
            double datagramsPerS) {}

    /** What it needs of the rest: the own breakers, who is told what others say, and where words for the operator go. */
    public record Ties(
            Supplier<List<GossipAgent.Own>> own, BiConsumer<Long, GossipAgent.Word> advise, Consumer<String> log) {}

    private static final long LOOK_NS = 250_000_000L, COUNTS_NS = 60_000_000_000L;

    private final IoLoop io;
    private final Ties ties;
    private final Keyring keys;
    private final PacketAuthenticator door;
    private final DatagramTransport datagrams;
    private final StreamTransport exchanges;
    private final GossipAgent agent;
    private final Map<String, byte[]> vain = new HashMap<>(); // the last body to each whose token is not known yet
    private final Map<String, MemberState> told = new HashMap<>(); // by name of the roster
    private long tickAt = Long.MAX_VALUE, countsAt, suspicions;
    private String counts = "";
    private boolean closed;

    /** Binds both sockets, and begins; a port of 0 takes one that is free for both. */
    public GossipTransport(IoLoop io, Place place, Keyring keys, GossipTimings tempo, Ties ties) throws IOException {
        this.io = io;
        this.ties = ties;
        this.keys = keys;
        SecureRandom secure = new SecureRandom();
        long now = io.clock.now();
        this.door = new PacketAuthenticator(place.name(), keys, secure, now);
        this.exchanges = new StreamTransport(io, place.listen(), this::read);
        this.datagrams = new DatagramTransport(io, exchanges.local(), this::read);
        String address = place.advertise().isEmpty() ? text(exchanges.local()) : place.advertise();
        this.agent = new GossipAgent(
                place.name(),
                address,
                place.seeds(),
                wallMs(),
                tempo,
                new SendRateLimiter(place.bytesPerS(), place.datagramsPerS(), now),
                keys,
                now,
                new SplittableRandom(secure.nextLong()),
                this::changed);
        this.countsAt = now + COUNTS_NS;
        ties.log().accept(place.name() + " at " + address);
        flush();
        look();
    }

    /** {@code ADDRESS:PORT} as others are told it. */
    public static String text(InetSocketAddress a) {
        String host = a.getAddress().getHostAddress();
        return (host.indexOf(':') >= 0 ? "[" + host + "]" : host) + ":" + a.getPort();
    }

    /** Of a numeric {@code ADDRESS:PORT}, which needs no look-up. */
    static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(
                text.substring(0, colon).replaceAll("[\\[\\]]", ""), Integer.parseInt(text.substring(colon + 1)));
    }

    private static long wallMs() {
        return System.currentTimeMillis();
    }

    /** Suspicions come and go with lost datagrams, and are counted; a line is for who came and who went. */
    private void changed(String name, MemberState standing) {
        if (standing == MemberState.SUSPECT) {
            suspicions++;
        } else if (told.put(name, standing) != standing) {
            ties.log().accept(name + " is " + standing);
        }
    }

    // ---------------------------------------------------------------- time

    private void flush() {
        long now = io.clock.now();
        if (closed) {
            return;
        }
        for (GossipAgent.Outgoing o : agent.sent(now)) {
            send(o.to(), address(o.address()), o.bytes());
        }
        for (String with : agent.syncs()) {
            String name = agent.membership().nameAt(with);
            byte[] body = PacketCodec.encode(agent.state(false, now), Packet.STATE);
            exchanges.open(address(with), name, body, (to, b) -> door.seal(to, b, wallMs(), io.clock.now()));
        }
        long next = agent.nextAt();
        if (next < tickAt) {
            tickAt = next;
            io.at(next, () -> {
                if (tickAt == next) {
                    tickAt = Long.MAX_VALUE;
                }
                agent.tick(io.clock.now());
                flush();
            });
        }
    }

    private void look() {
        if (closed) {
            return;
        }
        long now = io.clock.now();
        agent.look(ties.own().get(), ties.advise(), now, wallMs());
        if (now >= countsAt) {
            countsAt = now + COUNTS_NS;
            String line = counts();
            if (!line.equals(counts)) {
                counts = line;
                ties.log().accept(line);
            }
        }
        io.at(now + LOOK_NS, this::look);
    }

    // ---------------------------------------------------------------- datagrams

    private void send(String to, InetSocketAddress at, byte[] body) {
        if (!door.knows(to)) {
            vain.put(to, body);
        }
        datagrams.send(at, door.seal(to, body, wallMs(), io.clock.now()));
    }

    private void read(InetSocketAddress from, byte[] bytes, int length) {
        long now = io.clock.now();
        PacketAuthenticator.Opened o = door.open(from.getAddress(), bytes, length, Packet.DATAGRAM, wallMs(), now);
        if (o.back() != null) {
            if (agent.ceiling().take(o.back().length, now)) {
                datagrams.send(from, o.back());
            }
        } else if (o.packet() != null) {
            agent.receive(o.from(), o.packet(), now, wallMs(), o.wallMs());
            flush();
        } else if (o.from() != null) {
            byte[] body = vain.remove(o.from());
            if (body != null) {
                send(o.from(), from, body);
            }
        }
    }

    // ---------------------------------------------------------------- full exchanges

    private void read(StreamTransport.Line line, byte[] bytes) {
        long now = io.clock.now();
        PacketAuthenticator.Opened o =
                door.open(line.peer().getAddress(), bytes, bytes.length, Packet.STATE, wallMs(), now);
        if (o.back() != null) {
            line.send(o.back());
        } else if (o.packet() != null) {
            Packet answer = agent.receive(o.from(), o.packet(), now, wallMs(), o.wallMs());
            if (answer != null) {
                line.owes = PacketCodec.encode(answer, Packet.STATE);
                line.send(door.seal(o.from(), line.owes, wallMs(), now));
            } else {
                line.end();
            }
            flush();
        } else if (o.from() != null) { // it did not know this instance's token: the same again
            byte[] body = line.owes != null ? line.owes : line.body;
            if (body != null) {
                line.send(door.seal(o.from(), body, wallMs(), now));
            }
        } else {
            line.end(); // dropped: nothing more is to be had there
        }
    }

    // ---------------------------------------------------------------- the operator

    /** Another ceiling from now on. */
    public void ceiling(double bytesPerS, double datagramsPerS) {
        agent.ceiling().set(bytesPerS, datagramsPerS, io.clock.now());
    }

    /** Another roster from now on: those that went are forgotten with all that they said. */
    public void roster(Roster fresh) {
        List<String> gone = new ArrayList<>();
        keys.roster().all().stream().filter(e -> fresh.get(e.name()) == null).forEach(e -> gone.add(e.name()));
        keys.roster(fresh);
        for (String name : gone) {
            agent.remove(name);
            door.remove(name);
            vain.remove(name);
            told.remove(name);
            ties.log().accept(name + " is off the roster");
        }
    }

    /** Says good-bye, and closes. */
    public void leave() {
        agent.leave();
        flush();
        closed = true;
        exchanges.close();
        datagrams.close();
    }

    /** In one line: who is there, and what was dropped. */
    public String counts() {
        StringBuilder s =
                new StringBuilder(agent.membership().present() + " present, " + suspicions + " suspicions, dropped:");
        boolean any = false;
        for (PacketAuthenticator.Drop d : PacketAuthenticator.Drop.values()) {
            any |= add(s, d.wireName(), door.dropped(d));
        }
        for (GossipAgent.Drop d : GossipAgent.Drop.values()) {
            any |= add(s, d.wireName(), agent.dropped(d));
        }
        any |= add(s, "reads put off", datagrams.rests());
        any |= add(s, "connections refused", exchanges.refused());
        return any ? s.toString() : s.append(" nothing").toString();
    }

    private static boolean add(StringBuilder s, String what, long n) {
        if (n > 0) {
            s.append(' ').append(what).append(' ').append(n).append(';');
        }
        return n > 0;
    }

    public List<MembershipUpdate> members() {
        return agent.membership().seen();
    }

    /** The claims of a destination that count yet. */
    public List<HealthReport> claims(long destination) {
        return agent.claims(destination, io.clock.now());
    }

    public List<HealthReport> claims() {
        return agent.claims();
    }
}
