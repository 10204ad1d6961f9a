package elderseam.gossip;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import elderseam.compat.RecordedBytes;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/** One packet of each kind, with an update of each state and a report of each state among them, as an earlier build wrote them. */
class PacketCompatTest {
    private static final long WALL_MS = 1_700_000_000_123L;
    private static final int KEY = 0x1234_5678;
    private static final List<MembershipUpdate> RUMOURS = List.of(
            new MembershipUpdate("n1", "127.0.0.1:7946", MemberState.ALIVE, 5, "n1"),
            new MembershipUpdate("n2", "[::1]:7946", MemberState.SUSPECT, 6, "n1"),
            new MembershipUpdate("n3", "10.0.0.3:1", MemberState.DEAD, 7, "n2"),
            new MembershipUpdate("n4", "10.0.0.4:65535", MemberState.LEFT, Long.MAX_VALUE / 2, "n4"));
    private static final List<SignedReport> CLAIMS = List.of(
            signed(HealthReport.State.CLOSED, 0),
            signed(HealthReport.State.HALF_OPEN, 1),
            signed(HealthReport.State.OPEN, 30_000));
    private static final List<Packet> PACKETS = List.of(
            packet(new Message.Ping(1, "n2")),
            packet(new Message.PingFor(2, "n3")),
            packet(new Message.Ack(3)),
            packet(new Message.Nack(-4)),
            new Packet(new Message.News(), RUMOURS, List.of()),
            new Packet(new Message.State(false), List.of(), CLAIMS),
            new Packet(new Message.State(true), RUMOURS, CLAIMS));

    private static SignedReport signed(HealthReport.State state, int waitMs) {
        byte[] seal = new byte[SignedReport.SEAL];
        Arrays.fill(seal, (byte) (0xa0 + state.ordinal()));
        return new SignedReport(
                new HealthReport("n1", 5, 9, 0x0102_0304_0506_0708L, state, waitMs, 20, 12, 10_000),
                WALL_MS,
                KEY,
                seal);
    }

    private static Packet packet(Message message) {
        return new Packet(message, List.of(), List.of());
    }

    @Test
    void packets() throws IOException {
        List<String> written = PACKETS.stream()
                .map(p -> RecordedBytes.hex(PacketCodec.encode(p, Packet.DATAGRAM)))
                .toList();
        List<String> recorded = RecordedBytes.lines("gossip/packets", written);
        assertEquals(recorded, written);
        for (int i = 0; i < PACKETS.size(); i++) {
            Packet expected = PACKETS.get(i),
                    read = PacketCodec.decode(ByteBuffer.wrap(RecordedBytes.fromHex(recorded.get(i))));
            assertEquals(expected.message(), read.message());
            assertEquals(expected.rumours(), read.rumours());
            assertEquals(expected.claims().size(), read.claims().size());
            for (int c = 0; c < expected.claims().size(); c++) {
                assertSame(expected.claims().get(c), read.claims().get(c));
            }
        }
    }

    private static void assertSame(SignedReport expected, SignedReport read) {
        assertEquals(expected.claim(), read.claim());
        assertEquals(expected.wallMs(), read.wallMs());
        assertEquals(expected.key(), read.key());
        assertArrayEquals(expected.seal(), read.seal());
    }

    /** What a report's signature is over. */
    @Test
    void signedBytes() throws IOException {
        List<String> written = CLAIMS.stream()
                .map(s -> RecordedBytes.hex(PacketCodec.sealed(s.claim(), s.wallMs(), s.key())))
                .toList();
        assertEquals(RecordedBytes.lines("gossip/signed-bytes", written), written);
    }
}
