package elderseam.gossip;

import java.nio.BufferOverflowException;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Packets as bytes, big-endian; docs/gossip.md has the layout. A text has its length before it, in one byte. Names are as in
 * {@link MemberNames}, addresses up to 64 printable ASCII characters.
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
    /** Most updates, and most reports, of one packet. */
    private static final int MAX_COUNT = 4_096;
    /** Room that is set aside before anything was read; a count is not trusted. */
    private static final int MAX_INITIAL_CAPACITY = 64;
    /** Above it a refutation, which raises the incarnation by one, might overflow some day. */
    private static final long MAX_INCARNATION = Long.MAX_VALUE / 2;

    private static final int MAX_SIGNED_BYTES = 128;

    private PacketCodec() {}

    // ---------------------------------------------------------------- encoding

    /**
     * Encodes a packet.
     *
     * @throws BufferOverflowException if it has more than {@code maxBytes}, or a text of more than 64 characters
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
        return written(out);
    }

    /** Returns the bytes that a health report's signature is over. */
    public static byte[] signedBytes(HealthReport report, long reporterWallMs, int keyId) {
        ByteBuffer out = ByteBuffer.allocate(MAX_SIGNED_BYTES);
        putReport(out, report, reporterWallMs, keyId);
        return written(out);
    }

    private static byte[] written(ByteBuffer out) {
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
     * @throws MalformedPacketException if the bytes are no packet, or more than one
     */
    public static Packet decode(ByteBuffer in) {
        try {
            Message message = message(in);
            List<MembershipUpdate> updates = updates(in);
            List<SignedReport> reports = reports(in);
            if (in.hasRemaining()) {
                throw new MalformedPacketException();
            }
            return new Packet(message, updates, reports);
        } catch (BufferUnderflowException e) {
            throw new MalformedPacketException();
        }
    }

    private static Message message(ByteBuffer in) {
        byte kind = in.get();
        return switch (kind) {
            case PING -> new Message.Ping(in.getLong(), name(in));
            case PING_REQUEST -> new Message.PingRequest(in.getLong(), name(in));
            case ACK -> new Message.Ack(in.getLong());
            case NACK -> new Message.Nack(in.getLong());
            case GOSSIP -> new Message.Gossip();
            case FULL_STATE -> new Message.FullState(false);
            case FULL_STATE_REPLY -> new Message.FullState(true);
            default -> throw new MalformedPacketException();
        };
    }

    private static List<MembershipUpdate> updates(ByteBuffer in) {
        int count = count(in);
        List<MembershipUpdate> updates = new ArrayList<>(Math.min(count, MAX_INITIAL_CAPACITY));
        for (int i = 0; i < count; i++) {
            updates.add(update(in));
        }
        return updates;
    }

    private static MembershipUpdate update(ByteBuffer in) {
        String member = name(in);
        String address = address(in);
        MemberState state = MemberState.fromWireCode(in.get());
        long incarnation = in.getLong();
        if (incarnation < 0 || incarnation > MAX_INCARNATION) {
            throw new MalformedPacketException();
        }
        return new MembershipUpdate(member, address, state, incarnation, name(in));
    }

    private static List<SignedReport> reports(ByteBuffer in) {
        int count = count(in);
        List<SignedReport> reports = new ArrayList<>(Math.min(count, MAX_INITIAL_CAPACITY));
        for (int i = 0; i < count; i++) {
            HealthReport report = report(in);
            long reporterWallMs = in.getLong();
            int keyId = in.getInt();
            byte[] signature = new byte[SignedReport.SIGNATURE_BYTES];
            in.get(signature);
            reports.add(new SignedReport(report, reporterWallMs, keyId, signature));
        }
        return reports;
    }

    private static HealthReport report(ByteBuffer in) {
        String reporter = name(in);
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

    private static int count(ByteBuffer in) {
        int count = in.getShort();
        if (count < 0 || count > MAX_COUNT) {
            throw new MalformedPacketException();
        }
        return count;
    }

    private static String name(ByteBuffer in) {
        String text = text(in);
        if (!MemberNames.isValid(text)) {
            throw new MalformedPacketException();
        }
        return text;
    }

    private static String address(ByteBuffer in) {
        String text = text(in);
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

    private static String text(ByteBuffer in) {
        int length = in.get();
        if (length < 0 || length > MAX_TEXT_LENGTH) {
            throw new MalformedPacketException();
        }
        byte[] bytes = new byte[length];
        in.get(bytes);
        return new String(bytes, StandardCharsets.ISO_8859_1);
    }
}
