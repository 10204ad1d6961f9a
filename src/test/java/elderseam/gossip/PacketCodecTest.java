package elderseam.gossip;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** Bytes of packets: there and back; and whatever else comes is null, never an exception. */
class PacketCodecTest {
    private static final int MOST = 64 << 10;

    @Provide
    Arbitrary<Packet> packets() {
        Arbitrary<String> names =
                Arbitraries.strings().withChars("abcXYZ019._-").ofMinLength(1).ofMaxLength(64);
        Arbitrary<Message> messages = Combinators.combine(
                        Arbitraries.integers().between(1, 7), Arbitraries.longs(), names)
                .as((k, n, t) -> switch (k) {
                    case 1 -> new Message.Ping(n, t);
                    case 2 -> new Message.PingFor(n, t);
                    case 3 -> new Message.Ack(n);
                    case 4 -> new Message.Nack(n);
                    case 5 -> new Message.News();
                    default -> new Message.State(k == 7);
                });
        Arbitrary<MembershipUpdate> rumours = Combinators.combine(
                        names,
                        Arbitraries.of("127.0.0.1:1", "[::1]:65535"),
                        Arbitraries.of(MemberState.class),
                        Arbitraries.longs().between(0, Long.MAX_VALUE / 2),
                        names)
                .as(MembershipUpdate::new);
        Arbitrary<SignedReport> claims = Combinators.combine(
                        names,
                        Arbitraries.longs(),
                        Arbitraries.longs(),
                        Arbitraries.of(HealthReport.State.class),
                        Arbitraries.integers().between(0, Integer.MAX_VALUE),
                        Arbitraries.integers().between(0, 1_000),
                        Arbitraries.integers())
                .as((r, i, d, s, w, c, k) ->
                        new SignedReport(new HealthReport(r, i, i ^ d, d, s, w, c, c / 2, w), d, k, new byte[64]));
        return Combinators.combine(
                        messages, rumours.list().ofMaxSize(20), claims.list().ofMaxSize(8))
                .as(Packet::new);
    }

    @Property(tries = 300)
    void thereAndBack(@ForAll("packets") Packet p) {
        byte[] bytes = PacketCodec.encode(p, MOST);
        Packet back = PacketCodec.decode(ByteBuffer.wrap(bytes));
        assertEquals(p.message(), back.message());
        assertEquals(p.rumours(), back.rumours());
        assertArrayEquals(bytes, PacketCodec.encode(back, MOST));
        int sizes = p.rumours().stream().mapToInt(MembershipUpdate::bytes).sum()
                + p.claims().stream().mapToInt(SignedReport::bytes).sum();
        assertEquals(true, bytes.length <= sizes + 80, "told sizes are at least the true ones");
    }

    @Property(tries = 300)
    void cutShortOrLongerIsNothing(@ForAll("packets") Packet p, @ForAll int at) {
        byte[] bytes = PacketCodec.encode(p, MOST);
        assertNull(PacketCodec.decode(ByteBuffer.wrap(bytes, 0, Math.floorMod(at, bytes.length))));
        assertNull(PacketCodec.decode(ByteBuffer.wrap(Arrays.copyOf(bytes, bytes.length + 1))));
    }

    @Property(tries = 1_000)
    void junkIsNothingOrAPacket(@ForAll byte[] junk) {
        PacketCodec.decode(ByteBuffer.wrap(junk)); // throws nothing
    }

    /** An incarnation near the end of all numbers could not be outbid. */
    @Property(tries = 1)
    void anIncarnationThatCanNotBeOutbidIsNothing() {
        assertNull(PacketCodec.decode(ByteBuffer.wrap(PacketCodec.encode(
                new Packet(
                        new Message.News(),
                        List.of(new MembershipUpdate("a", "b:1", MemberState.SUSPECT, Long.MAX_VALUE, "c")),
                        List.of()),
                MOST))));
    }
}
