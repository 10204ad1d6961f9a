package elderseam.gossip;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import elderseam.compat.RecordedResource;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/** One packet of each kind, with an update of each state and a report of each state among them, as an earlier build wrote them. */
class PacketCompatTest {
    private static final long WALL_MS = 1_700_000_000_123L;
    private static final int KEY_ID = 0x1234_5678;
    private static final List<MembershipUpdate> UPDATES = List.of(
            new MembershipUpdate("n1", "127.0.0.1:7946", MemberState.ALIVE, 5, "n1"),
            new MembershipUpdate("n2", "[::1]:7946", MemberState.SUSPECT, 6, "n1"),
            new MembershipUpdate("n3", "10.0.0.3:1", MemberState.DEAD, 7, "n2"),
            new MembershipUpdate("n4", "10.0.0.4:65535", MemberState.LEFT, Long.MAX_VALUE / 2, "n4"));
    private static final List<SignedReport> REPORTS = List.of(
            signed(HealthReport.State.CLOSED, 0),
            signed(HealthReport.State.HALF_OPEN, 1),
            signed(HealthReport.State.OPEN, 30_000));
    private static final List<Packet> PACKETS = List.of(
            packet(new Message.Ping(1, "n2")),
            packet(new Message.PingRequest(2, "n3")),
            packet(new Message.Ack(3)),
            packet(new Message.Nack(-4)),
            new Packet(new Message.Gossip(), UPDATES, List.of()),
            new Packet(new Message.FullState(false), List.of(), REPORTS),
            new Packet(new Message.FullState(true), UPDATES, REPORTS));

    private static SignedReport signed(HealthReport.State state, int retryAfterMs) {
        byte[] signature = new byte[SignedReport.SIGNATURE_BYTES];
        Arrays.fill(signature, (byte) (0xa0 + state.wireCode()));
        return new SignedReport(
                new HealthReport("n1", 5, 9, 0x0102_0304_0506_0708L, state, retryAfterMs, 20, 12, 10_000),
                WALL_MS,
                KEY_ID,
                signature);
    }

    private static Packet packet(Message message) {
        return new Packet(message, List.of(), List.of());
    }

    @Test
    void packets() throws IOException {
        List<String> written = PACKETS.stream()
                .map(packet -> RecordedResource.toHex(PacketCodec.encode(packet, Packet.MAX_DATAGRAM_BYTES)))
                .toList();
        List<String> recorded = RecordedResource.linesOrRecord("gossip/packets", written);
        assertEquals(recorded, written);
        for (int i = 0; i < PACKETS.size(); i++) {
            Packet expected = PACKETS.get(i);
            Packet read = PacketCodec.decode(ByteBuffer.wrap(RecordedResource.fromHex(recorded.get(i))));
            assertEquals(expected.message(), read.message());
            assertEquals(expected.updates(), read.updates());
            assertEquals(expected.reports().size(), read.reports().size());
            for (int j = 0; j < expected.reports().size(); j++) {
                assertSameReport(expected.reports().get(j), read.reports().get(j));
            }
        }
    }

    private static void assertSameReport(SignedReport expected, SignedReport read) {
        assertEquals(expected.report(), read.report());
        assertEquals(expected.reporterWallMs(), read.reporterWallMs());
        assertEquals(expected.keyId(), read.keyId());
        assertArrayEquals(expected.signature(), read.signature());
    }

    /** What a report's signature is over. */
    @Test
    void signedBytes() throws IOException {
        List<String> written = REPORTS.stream()
                .map(signed -> RecordedResource.toHex(
                        PacketCodec.signedBytes(signed.report(), signed.reporterWallMs(), signed.keyId())))
                .toList();
        assertEquals(RecordedResource.linesOrRecord("gossip/signed-bytes", written), written);
    }
}
