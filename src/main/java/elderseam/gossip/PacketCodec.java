package elderseam.gossip;

import java.nio.BufferOverflowException;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Encodes and decodes packets, big-endian; docs/gossip.md describes the layout. A text is preceded by its length in one
 * byte. Names conform to {@link MemberNames}; addresses have up to 64 printable ASCII characters.
 */
public final class PacketCodec {
    private static final byte PING = 1;
    private static final byte PING_REQUEST = 2;
    private static final byte ACK = 3;
    private static final byte NACK = 4;
    private static final byte GOSSIP = 5;
    private static final byte FULL_STATE = 6;
    private static final byte FULL_STATE_REPLY = 7;

    private static final int MAX_TEXT_LENGTH = 64;
    /** Maximum number of updates, and of reports, in one packet. */
    private static final int MAX_COUNT = 4_096;
    /** Maximum initial capacity of a list: the count in a packet is not trusted until the entries have been read. */
    private static final int MAX_INITIAL_CAPACITY = 64;
    /**
     * Highest valid incarnation. Above it, refutations, each of which raises the incarnation by one, could overflow.
     */
    private static final long MAX_INCARNATION = Long.MAX_VALUE / 2;

    private static final int MAX_SIGNED_BYTES = 128;

    private PacketCodec() {}

    // ---------------------------------------------------------------- encoding

    /**
     * Encodes a packet.
     *
     * @throws BufferOverflowException if the packet needs more than {@code maxBytes}, or has a text of more than 64
     *     characters
     */
    public static byte[] encode(Packet packet, int maxBytes) {
        ByteBuffer out = ByteBuffer.allocate(maxBytes);
        putMessage(out, packet.message());
        out.putShort((short) packet.updates().size());
        for (MembershipUpdate update : packet.updates()) {
            putUpdate(out, update);
        }
        out.putShort((short) packet.reports().size());
        for (SignedReport signed : packet.reports()) {
            putReport(out, signed.report(), signed.reporterWallMs(), signed.keyId());
            out.put(signed.signature());
        }
        return toBytes(out);
    }

    /** Returns the bytes of a health report that its signature covers. */
    public static byte[] signedBytes(HealthReport report, long reporterWallMs, int keyId) {
        ByteBuffer out = ByteBuffer.allocate(MAX_SIGNED_BYTES);
        putReport(out, report, reporterWallMs, keyId);
        return toBytes(out);
    }

    private static byte[] toBytes(ByteBuffer out) {
        byte[] bytes = new byte[out.position()];
        out.flip().get(bytes);
        return bytes;
    }

    private static void putMessage(ByteBuffer out, Message message) {
        if (message instanceof Message.Ping ping) {
            out.put(PING).putLong(ping.sequence());
            putText(out, ping.target());
        } else if (message instanceof Message.PingRequest request) {
            out.put(PING_REQUEST).putLong(request.sequence());
            putText(out, request.target());
        } else if (message instanceof Message.Ack ack) {
            out.put(ACK).putLong(ack.sequence());
        } else if (message instanceof Message.Nack nack) {
            out.put(NACK).putLong(nack.sequence());
        } else if (message instanceof Message.FullState state) {
            out.put(state.isReply() ? FULL_STATE_REPLY : FULL_STATE);
        } else {
            out.put(GOSSIP);
        }
    }

    private static void putUpdate(ByteBuffer out, MembershipUpdate update) {
        putText(out, update.member());
        putText(out, update.address());
        out.put((byte) update.state().wireCode());
        out.putLong(update.incarnation());
        putText(out, update.origin());
    }

    private static void putReport(ByteBuffer out, HealthReport report, long reporterWallMs, int keyId) {
        putText(out, report.reporter());
        out.putLong(report.incarnation());
        out.putLong(report.sequence());
        out.putLong(report.destination());
        out.put((byte) report.state().wireCode());
        out.putInt(report.retryAfterMs());
        out.putInt(report.calls());
        out.putInt(report.failures());
        out.putInt(report.windowMs());
        out.putLong(reporterWallMs);
        out.putInt(keyId);
    }

    private static void putText(ByteBuffer out, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        if (bytes.length > MAX_TEXT_LENGTH) {
            throw new BufferOverflowException();
        }
        out.put((byte) bytes.length).put(bytes);
    }

    // ---------------------------------------------------------------- decoding

    /**
     * Decodes a packet that fills the buffer.
     *
     * @throws MalformedPacketException if the bytes are not exactly one valid packet
     */
    public static Packet decode(ByteBuffer in) {
        try {
            Message message = readMessage(in);
            List<MembershipUpdate> updates = readUpdates(in);
            List<SignedReport> reports = readReports(in);
            if (in.hasRemaining()) {
                throw new MalformedPacketException();
            }
            return new Packet(message, updates, reports);
        } catch (BufferUnderflowException e) {
            throw new MalformedPacketException();
        }
    }

    private static Message readMessage(ByteBuffer in) {
        byte kind = in.get();
        return switch (kind) {
            case PING -> new Message.Ping(in.getLong(), readName(in));
            case PING_REQUEST -> new Message.PingRequest(in.getLong(), readName(in));
            case ACK -> new Message.Ack(in.getLong());
            case NACK -> new Message.Nack(in.getLong());
            case GOSSIP -> new Message.Gossip();
            case FULL_STATE -> new Message.FullState(false);
            case FULL_STATE_REPLY -> new Message.FullState(true);
            default -> throw new MalformedPacketException();
        };
    }

    private static List<MembershipUpdate> readUpdates(ByteBuffer in) {
        int count = readCount(in);
        List<MembershipUpdate> updates = new ArrayList<>(Math.min(count, MAX_INITIAL_CAPACITY));
        for (int i = 0; i < count; i++) {
            updates.add(readUpdate(in));
        }
        return updates;
    }

    private static MembershipUpdate readUpdate(ByteBuffer in) {
        String member = readName(in);
        String address = readAddress(in);
        MemberState state = MemberState.fromWireCode(in.get());
        long incarnation = in.getLong();
        if (incarnation < 0 || incarnation > MAX_INCARNATION) {
            throw new MalformedPacketException();
        }
        return new MembershipUpdate(member, address, state, incarnation, readName(in));
    }

    private static List<SignedReport> readReports(ByteBuffer in) {
        int count = readCount(in);
        List<SignedReport> reports = new ArrayList<>(Math.min(count, MAX_INITIAL_CAPACITY));
        for (int i = 0; i < count; i++) {
            HealthReport report = readReport(in);
            long reporterWallMs = in.getLong();
            int keyId = in.getInt();
            byte[] signature = new byte[SignedReport.SIGNATURE_BYTES];
            in.get(signature);
            reports.add(new SignedReport(report, reporterWallMs, keyId, signature));
        }
        return reports;
    }

    private static HealthReport readReport(ByteBuffer in) {
        String reporter = readName(in);
        long incarnation = in.getLong();
        long sequence = in.getLong();
        long destination = in.getLong();
        HealthReport.State state = HealthReport.State.fromWireCode(in.get());
        int retryAfterMs = in.getInt();
        int calls = in.getInt();
        int failures = in.getInt();
        int windowMs = in.getInt();
        if (!HealthReport.isPlausible(retryAfterMs, calls, failures, windowMs)) {
            throw new MalformedPacketException();
        }
        return new HealthReport(
                reporter, incarnation, sequence, destination, state, retryAfterMs, calls, failures, windowMs);
    }

    private static int readCount(ByteBuffer in) {
        int count = in.getShort();
        if (count < 0 || count > MAX_COUNT) {
            throw new MalformedPacketException();
        }
        return count;
    }

    private static String readName(ByteBuffer in) {
        String text = readText(in);
        if (!MemberNames.isValid(text)) {
            throw new MalformedPacketException();
        }
        return text;
    }

    private static String readAddress(ByteBuffer in) {
        String text = readText(in);
        if (text.isEmpty()) {
            throw new MalformedPacketException();
        }
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c <= ' ' || c > '~') {
                throw new MalformedPacketException();
            }
        }
        return text;
    }

    private static String readText(ByteBuffer in) {
        int length = in.get();
        if (length < 0 || length > MAX_TEXT_LENGTH) {
            throw new MalformedPacketException();
        }
        byte[] bytes = new byte[length];
        in.get(bytes);
        return new String(bytes, StandardCharsets.ISO_8859_1);
    }
}
