package elderseam.gossip;

import java.nio.BufferOverflowException;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Packets as bytes, big-endian; docs/gossip.md has the layout. What can't be read is null and says nothing of why: it comes
 * from whoever could reach the port. Names are 1 to 64 of {@code A-Za-z0-9._-}, addresses up to 64 printable characters.
 */
public final class PacketCodec {
    private static final int LONGEST = 64, MOST = 4_096; // characters of a name; rumours, and claims, of one packet

    private PacketCodec() {}

    public static byte[] encode(Packet p, int most) {
        ByteBuffer b = ByteBuffer.allocate(most);
        Message m = p.message();
        if (m instanceof Message.Ping x) {
            b.put((byte) 1).putLong(x.number());
            text(b, x.target());
        } else if (m instanceof Message.PingFor x) {
            b.put((byte) 2).putLong(x.number());
            text(b, x.target());
        } else if (m instanceof Message.Ack x) {
            b.put((byte) 3).putLong(x.number());
        } else if (m instanceof Message.Nack x) {
            b.put((byte) 4).putLong(x.number());
        } else if (m instanceof Message.State x) {
            b.put((byte) (x.answer() ? 7 : 6));
        } else {
            b.put((byte) 5);
        }
        b.putShort((short) p.rumours().size());
        for (MembershipUpdate r : p.rumours()) {
            text(b, r.member());
            text(b, r.address());
            b.put((byte) r.standing().ordinal()).putLong(r.incarnation());
            text(b, r.from());
        }
        b.putShort((short) p.claims().size());
        for (SignedReport s : p.claims()) {
            sealed(b, s.claim(), s.wallMs(), s.key());
            b.put(s.seal());
        }
        byte[] bytes = new byte[b.position()];
        b.flip().get(bytes);
        return bytes;
    }

    /** What a claim's seal is over. */
    public static byte[] sealed(HealthReport c, long wallMs, int key) {
        ByteBuffer b = ByteBuffer.allocate(128);
        sealed(b, c, wallMs, key);
        byte[] bytes = new byte[b.position()];
        b.flip().get(bytes);
        return bytes;
    }

    private static void sealed(ByteBuffer b, HealthReport c, long wallMs, int key) {
        text(b, c.reporter());
        b.putLong(c.incarnation()).putLong(c.number()).putLong(c.destination()).put((byte)
                c.state().ordinal());
        b.putInt(c.waitMs())
                .putInt(c.calls())
                .putInt(c.failures())
                .putInt(c.windowMs())
                .putLong(wallMs)
                .putInt(key);
    }

    /** A packet, or null: nothing may be left over. */
    public static Packet decode(ByteBuffer b) {
        try {
            Message m = message(b);
            int rumours = b.getShort();
            if (m == null || rumours < 0 || rumours > MOST) {
                return null;
            }
            List<MembershipUpdate> heard = new ArrayList<>(Math.min(rumours, 64));
            for (int i = 0; i < rumours; i++) {
                String member = name(b), address = address(b);
                int standing = b.get();
                long incarnation = b.getLong();
                String from = name(b);
                if (member == null
                        || address == null
                        || from == null
                        || standing < 0
                        || standing > 3
                        || incarnation < 0
                        || incarnation > Long.MAX_VALUE / 2) { // outbidding it must not run over
                    return null;
                }
                heard.add(new MembershipUpdate(member, address, MemberState.values()[standing], incarnation, from));
            }
            int claims = b.getShort();
            if (claims < 0 || claims > MOST) {
                return null;
            }
            List<SignedReport> told = new ArrayList<>(Math.min(claims, 64));
            for (int i = 0; i < claims; i++) {
                SignedReport s = claim(b);
                if (s == null) {
                    return null;
                }
                told.add(s);
            }
            return b.hasRemaining() ? null : new Packet(m, heard, told);
        } catch (BufferUnderflowException e) {
            return null;
        }
    }

    private static Message message(ByteBuffer b) {
        int kind = b.get();
        switch (kind) {
            case 1, 2 -> {
                long number = b.getLong();
                String target = name(b);
                return target == null
                        ? null
                        : kind == 1 ? new Message.Ping(number, target) : new Message.PingFor(number, target);
            }
            case 3 -> {
                return new Message.Ack(b.getLong());
            }
            case 4 -> {
                return new Message.Nack(b.getLong());
            }
            case 5 -> {
                return new Message.News();
            }
            case 6, 7 -> {
                return new Message.State(kind == 7);
            }
            default -> {
                return null;
            }
        }
    }

    private static SignedReport claim(ByteBuffer b) {
        String reporter = name(b);
        long incarnation = b.getLong(), number = b.getLong(), destination = b.getLong();
        int state = b.get(), wait = b.getInt(), calls = b.getInt(), failures = b.getInt(), window = b.getInt();
        long wall = b.getLong();
        int key = b.getInt();
        byte[] seal = new byte[SignedReport.SEAL];
        b.get(seal);
        if (reporter == null
                || state < 0
                || state > 2
                || wait < 0
                || calls < 0
                || failures < 0
                || failures > calls
                || window < 0) {
            return null;
        }
        return new SignedReport(
                new HealthReport(
                        reporter,
                        incarnation,
                        number,
                        destination,
                        HealthReport.State.values()[state],
                        wait,
                        calls,
                        failures,
                        window),
                wall,
                key,
                seal);
    }

    /** A text of up to 64 characters and its length before it. */
    static void text(ByteBuffer b, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        if (bytes.length > LONGEST) {
            throw new BufferOverflowException();
        }
        b.put((byte) bytes.length).put(bytes);
    }

    static String name(ByteBuffer b) {
        String text = text(b);
        return text != null && isName(text) ? text : null;
    }

    /** Whether that may be a member's name. */
    public static boolean isName(String text) {
        return !text.isEmpty()
                && text.length() <= LONGEST
                && text.chars()
                        .allMatch(c -> (c >= 'a' && c <= 'z')
                                || (c >= 'A' && c <= 'Z')
                                || (c >= '0' && c <= '9')
                                || c == '.'
                                || c == '_'
                                || c == '-');
    }

    private static String address(ByteBuffer b) {
        String text = text(b);
        return text != null && !text.isEmpty() && text.chars().allMatch(c -> c > ' ' && c < 127) ? text : null;
    }

    private static String text(ByteBuffer b) {
        int length = b.get();
        if (length < 0 || length > LONGEST) {
            return null;
        }
        byte[] bytes = new byte[length];
        b.get(bytes);
        return new String(bytes, StandardCharsets.ISO_8859_1);
    }
}
