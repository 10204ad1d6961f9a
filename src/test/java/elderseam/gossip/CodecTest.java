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
class CodecTest {
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
        Arbitrary<Rumour> rumours = Combinators.combine(
                        names,
                        Arbitraries.of("127.0.0.1:1", "[::1]:65535"),
                        Arbitraries.of(Standing.class),
                        Arbitraries.longs().between(0, Long.MAX_VALUE / 2),
                        names)
                .as(Rumour::new);
        Arbitrary<Signed> claims = Combinators.combine(
                        names,
                        Arbitraries.longs(),
                        Arbitraries.longs(),
                        Arbitraries.of(Claim.State.class),
                        Arbitraries.integers().between(0, Integer.MAX_VALUE),
                        Arbitraries.integers().between(0, 1_000),
                        Arbitraries.integers())
                .as((r, i, d, s, w, c, k) ->
                        new Signed(new Claim(r, i, i ^ d, d, s, w, c, c / 2, w), d, k, new byte[64]));
        return Combinators.combine(
                        messages, rumours.list().ofMaxSize(20), claims.list().ofMaxSize(8))
                .as(Packet::new);
    }

    @Property(tries = 300)
    void thereAndBack(@ForAll("packets") Packet p) {
        byte[] bytes = Codec.encode(p, MOST);
        Packet back = Codec.decode(ByteBuffer.wrap(bytes));
        assertEquals(p.message(), back.message());
        assertEquals(p.rumours(), back.rumours());
        assertArrayEquals(bytes, Codec.encode(back, MOST));
        int sizes = p.rumours().stream().mapToInt(Rumour::bytes).sum()
                + p.claims().stream().mapToInt(Signed::bytes).sum();
        assertEquals(true, bytes.length <= sizes + 80, "told sizes are at least the true ones");
    }

    @Property(tries = 300)
    void cutShortOrLongerIsNothing(@ForAll("packets") Packet p, @ForAll int at) {
        byte[] bytes = Codec.encode(p, MOST);
        assertNull(Codec.decode(ByteBuffer.wrap(bytes, 0, Math.floorMod(at, bytes.length))));
        assertNull(Codec.decode(ByteBuffer.wrap(Arrays.copyOf(bytes, bytes.length + 1))));
    }

    @Property(tries = 1_000)
    void junkIsNothingOrAPacket(@ForAll byte[] junk) {
        Codec.decode(ByteBuffer.wrap(junk)); // throws nothing
    }

    /** An incarnation near the end of all numbers could not be outbid. */
    @Property(tries = 1)
    void anIncarnationThatCanNotBeOutbidIsNothing() {
        assertNull(Codec.decode(ByteBuffer.wrap(Codec.encode(
                new Packet(
                        new Message.News(),
                        List.of(new Rumour("a", "b:1", Standing.SUSPECT, Long.MAX_VALUE, "c")),
                        List.of()),
                MOST))));
    }
}
