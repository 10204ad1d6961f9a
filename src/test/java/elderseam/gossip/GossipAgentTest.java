package elderseam.gossip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** One instance and what others, honest or not, tell it. */
class GossipAgentTest {
    private static final long S = 1_000_000_000L;

    /** Seals that name their maker: a forger can't make another's. */
    private record Seals(String self) implements PeerVerifier {
        @Override
        public int key() {
            return self.hashCode();
        }

        @Override
        public byte[] seal(byte[] bytes) {
            byte[] seal = new byte[64];
            seal[0] = (byte) self.charAt(0);
            seal[1] = (byte) Arrays.hashCode(bytes);
            return seal;
        }

        @Override
        public boolean genuine(String name, int key, byte[] bytes, byte[] seal) {
            return key == name.hashCode()
                    && seal[0] == (byte) name.charAt(0)
                    && seal[1] == (byte) Arrays.hashCode(bytes);
        }

        @Override
        public boolean mayBeAt(String name, String address) {
            return address.equals(name + ":1");
        }
    }

    private long now = 100 * S;
    private long wall = 1_000_000;
    private final SendRateLimiter ceiling = new SendRateLimiter(64 << 10, 100, now);
    private final GossipAgent agent = new GossipAgent(
            "a",
            "a:1",
            List.of(),
            1,
            GossipTimings.USUAL,
            ceiling,
            new Seals("a"),
            now,
            new SplittableRandom(1),
            (n, s) -> {});
    private final Map<Long, GossipAgent.Word> words = new HashMap<>();
    private final Map<String, Long> numbers = new HashMap<>();

    private static HealthReport open(String reporter, long number, long destination) {
        return new HealthReport(reporter, 1, number, destination, HealthReport.State.OPEN, 0, 20, 20, 10_000);
    }

    private SignedReport signed(HealthReport c, String by, long at) {
        Seals s = new Seals(by);
        return new SignedReport(
                c,
                at,
                c.reporter().hashCode(),
                s.seal(PacketCodec.sealed(c, at, c.reporter().hashCode())));
    }

    private void tell(String from, SignedReport... claims) {
        agent.receive(from, new Packet(new Message.News(), List.of(), List.of(claims)), now, wall, wall);
    }

    private void says(String reporter, long destination, HealthReport.State state) {
        HealthReport c = new HealthReport(
                reporter, 1, numbers.merge(reporter, 1L, Long::sum), destination, state, 0, 20, 20, 10_000);
        tell(reporter, signed(c, reporter, wall));
    }

    private void look(GossipAgent.Own... own) {
        agent.look(List.of(own), words::put, now, wall);
    }

    private void pass(long s) {
        now += s * S;
        wall += s * 1_000;
    }

    private double doubt(long destination) {
        return words.getOrDefault(destination, new GossipAgent.Word(-1, -1)).doubt();
    }

    @Test
    void oneReporterIsWorthLessThanTheLeastEffect() {
        says("b", 1, HealthReport.State.OPEN);
        look();
        assertEquals(0, doubt(1));
        says("c", 1, HealthReport.State.OPEN);
        look();
        assertTrue(doubt(1) > 0 && doubt(1) < 0.25, "two: " + doubt(1));
        for (String r : List.of("d", "e", "f")) {
            says(r, 1, HealthReport.State.OPEN);
        }
        look();
        assertEquals(1, doubt(1), 1e-9);
        pass(11);
        look();
        assertEquals(0, doubt(1), "expired, and told so once");
        words.clear();
        look();
        assertEquals(Map.of(), words);
    }

    /** A majority that lies for ever of a bank that answers this instance well: no doubt at all, and each lie costs its teller. */
    @Test
    void aLyingMajorityIsContradictedByOwnCalls() {
        for (int i = 0; i < 6; i++) {
            for (String r : List.of("b", "c", "d", "e")) {
                says(r, 1, HealthReport.State.OPEN);
            }
            look(new GossipAgent.Own(1, HealthReport.State.CLOSED, 0, 40, 1));
            assertEquals(0, doubt(1));
            pass(3);
        }
        assertTrue(agent.worth("b", now) < 0.1, "worth " + agent.worth("b", now));
        for (String r : List.of("b", "c", "d", "e")) {
            says(r, 2, HealthReport.State.OPEN);
        }
        look();
        assertEquals(0, doubt(2), "of a destination without own calls they are not believed any more");
        pass(3_600);
        assertTrue(agent.worth("b", now) > 0.9, "an hour later");
    }

    /** One that flaps costs itself its worth just so, and never reaches the least effect. */
    @Test
    void aFlappingLiarMovesNothing() {
        for (int i = 0; i < 40; i++) {
            says("b", 1, i % 2 == 0 ? HealthReport.State.OPEN : HealthReport.State.CLOSED);
            look(new GossipAgent.Own(1, HealthReport.State.CLOSED, 0, 40, 0));
            assertEquals(0, doubt(1));
            pass(1);
        }
        assertTrue(agent.worth("b", now) < 0.05);
    }

    /** A claim that its reporter did not seal, or whose seal is over something else, is passed over and counted. */
    @Test
    void aForgedClaimIsNone() {
        tell("b", signed(open("c", 1, 1), "b", wall));
        SignedReport true1 = signed(open("c", 2, 1), "c", wall);
        tell("b", new SignedReport(open("c", 3, 1), wall, true1.key(), true1.seal()));
        assertEquals(2, agent.dropped(GossipAgent.Drop.FORGED_CLAIM));
        assertEquals(0, agent.claims().size());
        tell("b", true1);
        assertEquals(1, agent.claims().size());
    }

    /** Held back for a minute and then told: too old, though its reporter's clock is two minutes off. */
    @Test
    void aClaimThatWasHeldBackIsTooOld() {
        long theirs = wall + 120_000;
        SignedReport s = signed(open("c", 1, 1), "c", theirs), fresh = signed(open("c", 2, 1), "c", theirs + 60_000);
        agent.receive("c", new Packet(new Message.News(), List.of(), List.of()), now, wall, theirs);
        pass(60);
        tell("b", s);
        assertEquals(1, agent.dropped(GossipAgent.Drop.STALE_CLAIM));
        tell("b", fresh);
        assertEquals(1, agent.claims().size());
    }

    /** One sender makes this instance check 40 seals a second at most, whatever it tells. */
    @Test
    void checksHaveARate() {
        for (int i = 0; i < 200; i++) {
            tell("b", signed(open("c", i + 1, i), "b", wall));
        }
        assertTrue(agent.dropped(GossipAgent.Drop.FORGED_CLAIM) <= 40
                && agent.dropped(GossipAgent.Drop.CLAIMS_OVER_RATE) >= 160);
        tell("d", signed(open("d", 1, 1), "d", wall));
        assertEquals(1, agent.claims().size(), "another sender has a budget of its own");
    }

    /** A member that may not be where a rumour puts it is not taken on; nor one that is not on the roster. */
    @Test
    void aRumourOfAnAddressThatIsNotItsOwn() {
        agent.receive(
                "b",
                new Packet(
                        new Message.News(),
                        List.of(
                                new MembershipUpdate("c", "d:1", MemberState.ALIVE, 1, "c"),
                                new MembershipUpdate("d", "d:1", MemberState.ALIVE, 1, "d")),
                        List.of()),
                now,
                wall,
                wall);
        assertEquals(
                2,
                agent.dropped(GossipAgent.Drop.STRANGER)
                        + agent.membership().seen().size());
        assertEquals("d", agent.membership().seen().get(0).member());
    }

    /** An accusation at an incarnation that could not be outbid is passed over; one that can is refuted, and believed when it is. */
    @Test
    void anIncarnationCanNotBePushedBeyondBelief() {
        long ownBefore = agent.membership().state().get(0).incarnation(), most = wall + 86_400_000;
        for (long lie : new long[] {Long.MAX_VALUE / 2, most + 1}) {
            agent.receive(
                    "b",
                    new Packet(
                            new Message.News(),
                            List.of(new MembershipUpdate("a", "a:1", MemberState.SUSPECT, lie, "b")),
                            List.of()),
                    now,
                    wall,
                    wall);
        }
        assertEquals(ownBefore, agent.membership().state().get(0).incarnation());
        assertEquals(2, agent.dropped(GossipAgent.Drop.AHEAD));
        agent.receive(
                "b",
                new Packet(
                        new Message.News(),
                        List.of(new MembershipUpdate("a", "a:1", MemberState.SUSPECT, most, "b")),
                        List.of()),
                now,
                wall,
                wall);
        MembershipUpdate refutes = agent.membership().state().get(0);
        assertEquals(most + 1, refutes.incarnation());
        GossipAgent other = new GossipAgent(
                "c",
                "c:1",
                List.of(),
                1,
                GossipTimings.USUAL,
                ceiling,
                new Seals("c"),
                now,
                new SplittableRandom(2),
                (n, s) -> {});
        other.receive("a", new Packet(new Message.News(), List.of(refutes), List.of()), now, wall, wall);
        assertEquals(MemberState.ALIVE, other.membership().standing("a"));
    }

    /** Above the ceiling nothing leaves; while it binds, the newest and most confirmed claims are the ones that do. */
    @Test
    void theCeilingLetsTheMostConfirmedGoFirst() {
        agent.receive(
                "b",
                new Packet(
                        new Message.News(),
                        List.of(new MembershipUpdate("b", "b:1", MemberState.ALIVE, 1, "b")),
                        List.of()),
                now,
                wall,
                wall);
        for (int d = 1; d <= 30; d++) {
            says("b", d, HealthReport.State.OPEN);
        }
        for (String r : List.of("c", "d", "e")) {
            says(r, 7, HealthReport.State.OPEN);
        }
        agent.sent(now);
        ceiling.set(1_000, 2, now);
        List<Long> said = new ArrayList<>();
        int bytes = 0;
        for (int i = 0; i < 10; i++) {
            now += S / 5;
            wall += 200;
            agent.tick(now);
            for (GossipAgent.Outgoing o : agent.sent(now)) {
                bytes += o.bytes().length + 160;
                PacketCodec.decode(java.nio.ByteBuffer.wrap(o.bytes()))
                        .claims()
                        .forEach(s -> said.add(s.claim().destination()));
            }
        }
        assertTrue(bytes <= 1_000 + 2 * 1_000, bytes + " bytes in two seconds");
        assertTrue(agent.dropped(GossipAgent.Drop.CEILING) > 0);
        assertEquals(7L, said.get(0), said::toString);
        assertTrue(said.indexOf(30L) >= 0 && said.indexOf(1L) < 0, "the newest before the oldest: " + said);
    }

    /** Own breakers: what is news is said at once, what lasts is said again before it expires, what never opened not at all. */
    @Test
    void ownClaims() {
        look(
                new GossipAgent.Own(1, HealthReport.State.CLOSED, 0, 40, 0),
                new GossipAgent.Own(2, HealthReport.State.OPEN, 500, 4, 4));
        assertEquals(
                List.of(2L),
                agent.claims().stream().map(HealthReport::destination).toList());
        long first = agent.claims().get(0).number();
        pass(1);
        look(
                new GossipAgent.Own(1, HealthReport.State.CLOSED, 0, 40, 0),
                new GossipAgent.Own(2, HealthReport.State.OPEN, 0, 4, 4));
        assertEquals(first, agent.claims().get(0).number());
        pass(2);
        look(new GossipAgent.Own(2, HealthReport.State.OPEN, 0, 4, 4));
        assertEquals(first + 1, agent.claims().get(0).number());
        look(new GossipAgent.Own(2, HealthReport.State.CLOSED, 0, 1, 0));
        assertEquals(HealthReport.State.CLOSED, agent.claims().get(0).state());
        List<GossipAgent.Own> many = new ArrayList<>();
        for (long d = 1; d <= 1_000; d++) {
            many.add(new GossipAgent.Own(d, HealthReport.State.OPEN, 0, 4, 4));
        }
        for (int i = 0; i < 120; i++) {
            pass(1);
            agent.look(many, words::put, now, wall);
        }
        assertTrue(agent.claims().size() <= 256, agent.claims().size() + " held");
    }

    /** Names as long as they may be, and as much to say as there can be: no datagram and no state is over its size. */
    @Test
    void theLongestNamesFit() {
        PeerVerifier anybody = new PeerVerifier() {
            @Override
            public int key() {
                return 1;
            }

            @Override
            public byte[] seal(byte[] bytes) {
                return new byte[64];
            }

            @Override
            public boolean genuine(String name, int key, byte[] bytes, byte[] seal) {
                return true;
            }

            @Override
            public boolean mayBeAt(String name, String address) {
                return true;
            }
        };
        String self = "a".repeat(64), address = "[2001:db8:1111:2222:3333:4444:5555:6666]:65535";
        GossipAgent a = new GossipAgent(
                self,
                address,
                List.of(),
                1,
                GossipTimings.USUAL,
                ceiling,
                anybody,
                now,
                new SplittableRandom(1),
                (n, s) -> {});
        List<MembershipUpdate> all = new ArrayList<>();
        for (int i = 0; i < 1_024; i++) {
            all.add(new MembershipUpdate(String.format("%064d", i), address, MemberState.SUSPECT, 1, "b".repeat(64)));
        }
        a.receive("b", new Packet(new Message.State(true), all, List.of()), now, wall, wall);
        for (int i = 0; i < 200; i++) {
            String reporter = String.format("%064d", i);
            a.receive(
                    reporter,
                    new Packet(
                            new Message.News(),
                            List.of(),
                            List.of(new SignedReport(open(reporter, 1, i), wall, 1, new byte[64]))),
                    now,
                    wall,
                    wall);
        }
        int state = PacketCodec.encode(a.state(true, now), 2 * Packet.STATE).length + Packet.envelope(self);
        assertTrue(state > 190_000 && state <= Packet.STATE, state + " bytes");
        int longest = 0;
        for (int i = 0; i < 100; i++) {
            now += S / 10;
            a.tick(now);
            for (GossipAgent.Outgoing o : a.sent(now)) {
                longest = Math.max(longest, o.bytes().length + Packet.envelope(self));
            }
        }
        assertTrue(longest > 1_000 && longest <= Packet.DATAGRAM, longest + " bytes");
    }

    @Test
    void whoIsOffTheRosterIsForgotten() {
        agent.receive(
                "b",
                new Packet(
                        new Message.News(),
                        List.of(new MembershipUpdate("b", "b:1", MemberState.ALIVE, 1, "b")),
                        List.of()),
                now,
                wall,
                wall);
        for (String r : List.of("b", "c", "d", "e", "f")) {
            says(r, 1, HealthReport.State.OPEN);
        }
        look();
        assertEquals(1, doubt(1), 1e-9);
        for (String r : List.of("b", "c", "d", "e", "f")) {
            agent.remove(r);
        }
        look();
        assertEquals(0, doubt(1));
        assertEquals(1, agent.membership().present());
        assertEquals(List.of(), agent.state(false, now).claims());
    }
}
