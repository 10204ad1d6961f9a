package elderseam.gossip;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.BiConsumer;

/**
 * One instance of the fleet, without sockets: its membership, the claims it holds and makes, what it makes of them, and the
 * ceiling over all that it sends. Packets come in with the name of who sent them, proved; they go out by {@link #sent}.
 *
 * <p>Bounds: claims of 256 destinations for each reporter, 256 of its own; claims of one sender that are checked, 40 a second;
 * own claims issued, 20 a second; members by the roster. One thread owns it; {@code now} never runs backwards, {@code wallMs}
 * is the wall clock and may be minutes off.
 */
public final class GossipAgent {
    /** A packet to an address. */
    public record Outgoing(String to, String address, byte[] bytes) {}

    /** What others say of a destination, as the module is told it. */
    public record Word(double doubt, double trying) {
        static final Word NOTHING = new Word(0, 0);
    }

    /** How this instance's own breaker for a destination stands. */
    public record Own(long destination, HealthReport.State state, int waitMs, int calls, int failures) {}

    private static final int MOST_DESTINATIONS = 256, STATE_CLAIMS = 256;
    private static final int MESSAGE =
            1 + 8 + 1 + 64 + 2 + 2; // bytes of a message with the longest name, and two counts
    private static final int WINDOW_MS = 10_000;
    /**
     * Incarnations begin as a wall clock in milliseconds. What others say of a member may be so far ahead, and twice as far what
     * it says itself: so one that lies can't push a member's incarnation to where nobody would believe its refutation.
     */
    private static final long DAY_MS = 86_400_000;

    private static final long MS = 1_000_000, AGAIN_NS = 3_000 * MS, STALE_MS = 12_000;
    private static final double CHECKS_PER_S = 40, ISSUES_PER_S = 20;

    /** An own claim: what it said last, and when. */
    private record Issued(HealthReport.State state, long at) {}

    private final String self;
    private final int envelope;
    private final long incarnation;
    private final PeerVerifier trust;
    private final Membership membership;
    private final HealthReportTable claims = new HealthReportTable(MOST_DESTINATIONS);
    private final HealthEstimator advice = new HealthEstimator();
    private final SendRateLimiter ceiling;
    private final PiggybackQueue<SignedReport> spread = new PiggybackQueue<>(1_024, SignedReport::bytes);
    private final Map<String, SignedReport> sealed = new HashMap<>(); // as held in claims, by reporter and destination
    private final Map<Long, Issued> issued = new HashMap<>();
    private final Map<String, TokenBucket> checks = new HashMap<>();
    private final ClockOffsetEstimator clocks = new ClockOffsetEstimator();
    private final TokenBucket issues;
    private Set<Long> advised = new HashSet<>();
    private long numbers;
    private final long[] dropped = new long[Drop.values().length];

    /** Why something was passed over. */
    public enum Drop {
        STALE_CLAIM("stale claim"),
        FORGED_CLAIM("forged claim"),
        CLAIMS_OVER_RATE("claims over rate"),
        STRANGER("stranger"),
        AHEAD("ahead"),
        CEILING("ceiling");

        private final String wireName;

        Drop(String wireName) {
            this.wireName = wireName;
        }

        /** The reason in the line of counts. */
        public String wireName() {
            return wireName;
        }
    }

    public GossipAgent(
            String self,
            String address,
            List<String> seeds,
            long incarnation,
            GossipTimings tempo,
            SendRateLimiter ceiling,
            PeerVerifier trust,
            long now,
            SplittableRandom random,
            BiConsumer<String, MemberState> changed) {
        this.self = self;
        this.envelope = Packet.envelope(self);
        this.incarnation = incarnation;
        this.trust = trust;
        this.ceiling = ceiling;
        this.issues = new TokenBucket(ISSUES_PER_S, ISSUES_PER_S, now);
        this.membership = new Membership(self, address, seeds, incarnation, tempo, now, random, changed);
        membership.tellsToo(() -> spread.subjects() > 0);
    }

    // ---------------------------------------------------------------- time

    public long nextAt() {
        return membership.nextAt();
    }

    public void tick(long now) {
        membership.tick(now);
    }

    // ---------------------------------------------------------------- what comes

    /** A packet of a member whose name and age were proved; what to answer over a connection, or null. */
    public Packet receive(String from, Packet p, long now, long wallMs, long theirWallMs) {
        clocks.hear(from, theirWallMs, wallMs, now);
        List<MembershipUpdate> allowed = new ArrayList<>(p.rumours().size());
        for (MembershipUpdate r : p.rumours()) {
            if (r.incarnation() > wallMs + DAY_MS * (r.member().equals(from) ? 2 : 1)) {
                dropped[Drop.AHEAD.ordinal()]++;
            } else if (r.member().equals(self) || trust.mayBeAt(r.member(), r.address())) {
                allowed.add(r);
            } else {
                dropped[Drop.STRANGER.ordinal()]++;
            }
        }
        for (SignedReport s : p.claims()) {
            hear(from, s, now, wallMs);
        }
        if (p.message() instanceof Message.State s) {
            membership.merge(allowed, now);
            return s.answer() ? null : state(true, now);
        }
        allowed.forEach(r -> membership.hear(r, now));
        membership.receive(from, p.message(), now);
        return null;
    }

    private void hear(String from, SignedReport s, long now, long wallMs) {
        HealthReport c = s.claim();
        if (c.reporter().equals(self) || !claims.isNews(c)) {
            return;
        }
        if (clocks.ageMs(c.reporter(), s.wallMs(), wallMs) > STALE_MS) {
            dropped[Drop.STALE_CLAIM.ordinal()]++;
        } else if (!checks.computeIfAbsent(from, f -> new TokenBucket(CHECKS_PER_S, CHECKS_PER_S, now))
                .take(1, now)) {
            dropped[Drop.CLAIMS_OVER_RATE.ordinal()]++;
        } else if (!trust.genuine(c.reporter(), s.key(), PacketCodec.sealed(c, s.wallMs(), s.key()), s.seal())) {
            dropped[Drop.FORGED_CLAIM.ordinal()]++;
        } else if (claims.hear(c, now)) {
            say(s, now);
        }
    }

    private void say(SignedReport s, long now) {
        HealthReport c = s.claim();
        String subject = c.reporter() + " " + c.destination();
        sealed.put(subject, s);
        int confirmed = (int) claims.of(c.destination(), now).stream()
                .filter(x -> x.state() == c.state())
                .count();
        spread.say(subject, s, confirmed);
    }

    // ---------------------------------------------------------------- claims, some times a second

    /**
     * Looks at the own breakers, says what is news of them, and tells what others' claims come to: {@code advise} gets each
     * destination of which something is said, and once more, with nothing, where that has ended.
     */
    public void look(List<Own> own, BiConsumer<Long, Word> advise, long now, long wallMs) {
        claims.sweep(now);
        sealed.values().removeIf(s -> !claims.holds(s.claim()));
        Map<Long, Own> mine = new TreeMap<>();
        own.forEach(o -> mine.put(o.destination(), o));
        issue(mine, now, wallMs);
        Set<Long> about = new HashSet<>();
        for (long destination : claims.destinations(self, now)) {
            Own o = mine.get(destination);
            List<HealthReport> others = claims.of(destination, now).stream()
                    .filter(c -> !c.reporter().equals(self))
                    .toList();
            int calls = o == null ? 0 : o.calls();
            Word w = new Word(
                    advice.doubt(others, calls, calls - (o == null ? 0 : o.failures()), now),
                    advice.trying(others, now));
            about.add(destination);
            advise.accept(destination, w);
        }
        advised.stream().filter(d -> !about.contains(d)).forEach(d -> advise.accept(d, Word.NOTHING));
        advised = about;
    }

    /** Changes first; what goes on being said is said again before it has expired with others. */
    private void issue(Map<Long, Own> mine, long now, long wallMs) {
        issued.keySet().removeIf(d -> !mine.containsKey(d));
        for (boolean changes : new boolean[] {true, false}) {
            for (Own o : mine.values()) {
                Issued last = issued.get(o.destination());
                boolean silent =
                        last == null && (o.state() == HealthReport.State.CLOSED || issued.size() >= MOST_DESTINATIONS);
                boolean changed = last == null || last.state != o.state();
                if (silent
                        || changes != changed
                        || (!changed && (o.state() == HealthReport.State.CLOSED || now - last.at < AGAIN_NS))) {
                    continue;
                }
                if (!issues.take(1, now)) {
                    return;
                }
                HealthReport c = new HealthReport(
                        self,
                        incarnation,
                        ++numbers,
                        o.destination(),
                        o.state(),
                        o.waitMs(),
                        o.calls(),
                        o.failures(),
                        WINDOW_MS);
                claims.hear(c, now);
                say(
                        new SignedReport(
                                c, wallMs, trust.key(), trust.seal(PacketCodec.sealed(c, wallMs, trust.key()))),
                        now);
                issued.put(o.destination(), new Issued(o.state(), now));
            }
        }
    }

    // ---------------------------------------------------------------- what goes out

    /** The datagrams to be sent now; what is above the ceiling is left out, and counted. */
    public List<Outgoing> sent(long now) {
        List<Outgoing> all = new ArrayList<>();
        for (Message.Sent s : membership.sent()) {
            String address = membership.address(s.to());
            int room = Math.min(Packet.DATAGRAM, ceiling.room(now)) - envelope - MESSAGE;
            if (address == null) {
                continue;
            }
            List<MembershipUpdate> rumours = new ArrayList<>(s.first());
            List<SignedReport> said = List.of();
            if (room > 0) {
                int first = rumours.stream().mapToInt(MembershipUpdate::bytes).sum();
                rumours.addAll(membership.along((spread.subjects() > 0 ? room / 2 : room) - first));
                int left = room
                        - rumours.stream().mapToInt(MembershipUpdate::bytes).sum();
                said = spread.take(left, membership.transmits());
            }
            byte[] bytes = PacketCodec.encode(new Packet(s.message(), rumours, said), Packet.DATAGRAM);
            if (ceiling.take(bytes.length + envelope, now)) {
                all.add(new Outgoing(s.to(), address, bytes));
            } else {
                dropped[Drop.CEILING.ordinal()]++;
            }
        }
        return all;
    }

    /** Addresses with which the whole state is to be exchanged now. */
    public List<String> syncs() {
        return membership.syncs();
    }

    /** The whole state, as a packet: every member, and the claims that count, newest first, as many as fit. */
    public Packet state(boolean answer, long now) {
        int[] room = {Packet.STATE - envelope - MESSAGE};
        List<MembershipUpdate> members = membership.state().stream()
                .filter(r -> (room[0] -= r.bytes()) >= 0)
                .toList();
        List<SignedReport> newest = sealed.values().stream()
                .filter(s -> claims.counts(s.claim(), now))
                .sorted((a, b) -> {
                    int byTime = Long.compare(b.wallMs(), a.wallMs());
                    return byTime != 0 ? byTime : HealthReport.AGE.compare(b.claim(), a.claim());
                })
                .limit(STATE_CLAIMS)
                .filter(s -> (room[0] -= s.bytes()) >= 0)
                .toList();
        return new Packet(new Message.State(answer), members, newest);
    }

    public void leave() {
        membership.leave();
    }

    /** Others on the roster now: those that went are forgotten with all that they said. */
    public void remove(String name) {
        membership.remove(name);
        claims.remove(name);
        advice.remove(name);
        clocks.remove(name);
        checks.remove(name);
        sealed.values().removeIf(s -> {
            boolean gone = s.claim().reporter().equals(name);
            if (gone) {
                spread.forget(name + " " + s.claim().destination());
            }
            return gone;
        });
    }

    // ---------------------------------------------------------------- what is seen

    public Membership membership() {
        return membership;
    }

    public SendRateLimiter ceiling() {
        return ceiling;
    }

    /** The claims that count of a destination. */
    public List<HealthReport> claims(long destination, long now) {
        return claims.of(destination, now);
    }

    /** Every claim that is held. */
    public List<HealthReport> claims() {
        return claims.all();
    }

    public double worth(String reporter, long now) {
        return advice.worth(reporter, now);
    }

    public long dropped(Drop why) {
        return dropped[why.ordinal()];
    }
}
