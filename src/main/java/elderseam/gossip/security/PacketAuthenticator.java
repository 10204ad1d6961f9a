package elderseam.gossip.security;

import elderseam.gossip.Packet;
import elderseam.gossip.PacketCodec;
import elderseam.gossip.TokenBucket;
import java.net.InetAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.PublicKey;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Puts packets into sealed envelopes, and opens those that come. What is dropped is counted, by reason and by source, and
 * costs less the earlier it is seen: size and form, name on the roster, address, key, token, number, rate, and last the seal.
 *
 * <p>Against repeats, also of what was recorded before a restart: each instance hands each other a random token, by a hello
 * that answers the first envelope without one; every envelope carries the token that its receiver has handed out, and a number
 * that grows. A receiver that starts anew has handed out none, so nothing from before opens; a sender that starts anew is handed
 * another, and what it sent in its earlier life does not open either. Neither clock nor disk is needed. A hello is taken only as
 * the answer to an envelope of this life, by its token and number, and only once.
 *
 * <p>Bounds: tokens and windows by the roster; 1,024 sources counted; per member 50 seals checked a second, per instance 400;
 * hellos 2 a second for each member, 50 for all. One thread owns it.
 */
public final class PacketAuthenticator {
    private static final int SEAL = 64, LEAST = Packet.envelope("");
    private static final int MAGIC = 0x45_53_01_00; // "ES", version 1, kind in the last byte
    private static final byte DATA = 1, HELLO = 2;
    private static final int SOURCES = 1_024, WINDOW = 1_024;
    private static final double CHECKS = 50, ALL_CHECKS = 400, HELLOS = 2, ALL_HELLOS = 50;

    /** Why an envelope was dropped. */
    public enum Drop {
        FORM("form"),
        OVERSIZED("oversized"),
        UNKNOWN("unknown"),
        ADDRESS("address"),
        KEY("key"),
        TOKEN("token"),
        REPLAYED("replayed"),
        RATE("rate"),
        SEAL("seal"),
        BODY("body"),
        HELLO("hello");

        private final String wireName;

        Drop(String wireName) {
            this.wireName = wireName;
        }

        /** The reason in the line of counts. */
        public String wireName() {
            return wireName;
        }
    }

    /** A proved packet and who sent it; or who has said hello, so that what was sent there in vain can be sent again; or an
     *  envelope to send back; or nothing at all, for one that was dropped. */
    public record Opened(String from, Packet packet, long wallMs, byte[] back) {
        static final Opened NOTHING = new Opened(null, null, 0, null);
    }

    private static final class Peer {
        long theirs, sent; // the token they handed out; the number of the last envelope to them
        long helloAt; // the number of the last envelope that a hello answered
        long handed, offered; // the token that counts here, and the one that takes its place once used
        long highest;
        final long[] seen = new long[WINDOW / 64];
        final TokenBucket checks, hellos;

        Peer(RandomGenerator random, long now) {
            sent = random.nextLong() >>> 2; // not to be guessed, nor met in another life
            checks = new TokenBucket(CHECKS, 2 * CHECKS, now);
            hellos = new TokenBucket(HELLOS, HELLOS, now);
        }
    }

    private final String self;
    private final Keyring keys;
    private final RandomGenerator random;
    private final Map<String, Peer> peers = new HashMap<>();
    private final long[] drops = new long[Drop.values().length];
    private final TokenBucket checks, hellos;
    private final Map<InetAddress, long[]> sources = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<InetAddress, long[]> eldest) {
            return size() > SOURCES;
        }
    };

    /** {@code random}: one that nobody can guess. */
    public PacketAuthenticator(String self, Keyring keys, RandomGenerator random, long now) {
        this.self = self;
        this.keys = keys;
        this.random = random;
        this.checks = new TokenBucket(ALL_CHECKS, ALL_CHECKS, now);
        this.hellos = new TokenBucket(ALL_HELLOS, ALL_HELLOS, now);
    }

    // ---------------------------------------------------------------- out

    /** An envelope for a member, or for whoever answers at a seed ({@code to} empty: it must say hello first). */
    public byte[] seal(String to, byte[] body, long wallMs, long now) {
        Peer p = peer(to, now);
        p.sent++;
        return envelope(DATA, p.theirs, p.sent, wallMs, body);
    }

    /** Whether an envelope to that member may open; else it only asks for a hello. */
    public boolean knows(String to) {
        Peer p = peers.get(to);
        return p != null && p.theirs != 0;
    }

    private byte[] envelope(byte kind, long token, long number, long wallMs, byte[] body) {
        byte[] name = self.getBytes(StandardCharsets.US_ASCII);
        ByteBuffer b = ByteBuffer.allocate(LEAST + name.length + body.length);
        b.putInt(MAGIC | kind)
                .put((byte) name.length)
                .put(name)
                .putInt(keys.key())
                .putLong(token)
                .putLong(number)
                .putLong(wallMs)
                .put(body);
        byte[] sealed = Arrays.copyOf(b.array(), b.position());
        b.put(keys.seal(sealed));
        return b.array();
    }

    private Peer peer(String name, long now) {
        return peers.computeIfAbsent(name, n -> new Peer(random, now));
    }

    // ---------------------------------------------------------------- in

    /** Opens what came from there; {@code most}: what one of its kind may have. */
    public Opened open(InetAddress from, byte[] bytes, int length, int most, long wallMs, long now) {
        if (length > most) {
            return drop(Drop.OVERSIZED, from);
        }
        ByteBuffer b = ByteBuffer.wrap(bytes, 0, length);
        if (length < LEAST + 1 || (b.getInt(0) & 0xffff_ff00) != MAGIC || (bytes[3] != DATA && bytes[3] != HELLO)) {
            return drop(Drop.FORM, from);
        }
        b.position(4);
        int n = b.get();
        if (n < 1 || n > 64 || length < LEAST + n) {
            return drop(Drop.FORM, from);
        }
        String name = new String(bytes, 5, n, StandardCharsets.US_ASCII);
        b.position(5 + n);
        Roster.Entry entry = keys.roster().get(name);
        if (entry == null || name.equals(self)) {
            return drop(Drop.UNKNOWN, from);
        }
        if (!entry.mayBeAt(Roster.address(from))) {
            return drop(Drop.ADDRESS, from);
        }
        PublicKey key = entry.key(b.getInt());
        long token = b.getLong(), number = b.getLong(), theirWall = b.getLong();
        if (key == null) {
            return drop(Drop.KEY, from);
        }
        Peer p = peer(name, now);
        return bytes[3] == HELLO
                ? hello(p, name, key, bytes, length, b, from, now)
                : data(p, name, key, token, number, theirWall, bytes, length, b, from, wallMs, now);
    }

    private Opened data(
            Peer p,
            String name,
            PublicKey key,
            long token,
            long number,
            long theirWall,
            byte[] bytes,
            int length,
            ByteBuffer b,
            InetAddress from,
            long wallMs,
            long now) {
        boolean fresh = token != 0 && token == p.offered;
        if (token == 0 || (token != p.handed && !fresh)) {
            return greet(p, token, number, from, wallMs, now);
        }
        if (!fresh && !unseen(p, number)) {
            return drop(Drop.REPLAYED, from);
        }
        if (!genuine(p, key, bytes, length, from, now)) {
            return Opened.NOTHING;
        }
        if (fresh) {
            p.handed = p.offered;
            p.offered = 0;
            Arrays.fill(p.seen, 0);
            p.highest = number;
        }
        see(p, number);
        b.limit(length - SEAL);
        Packet packet = PacketCodec.decode(b);
        return packet == null ? drop(Drop.BODY, from) : new Opened(name, packet, theirWall, null);
    }

    /** Tells the token that opens here; smaller than what asked for it, and rarely. */
    private Opened greet(Peer p, long token, long number, InetAddress from, long wallMs, long now) {
        if (!p.hellos.take(1, now) || !hellos.take(1, now)) {
            return drop(Drop.TOKEN, from);
        }
        count(Drop.TOKEN, from);
        while (p.offered == 0 || p.offered == p.handed) {
            p.offered = random.nextLong();
        }
        ByteBuffer body =
                ByteBuffer.allocate(24).putLong(p.offered).putLong(token).putLong(number);
        return new Opened(null, null, 0, envelope(HELLO, 0, 0, wallMs, body.array()));
    }

    /** Only as the answer to an envelope of this life that had no newer one; a seed says its name so. */
    private Opened hello(
            Peer p, String name, PublicKey key, byte[] bytes, int length, ByteBuffer b, InetAddress from, long now) {
        if (length - b.position() != 24 + SEAL) {
            return drop(Drop.FORM, from);
        }
        long offered = b.getLong(), token = b.getLong(), number = b.getLong();
        Peer seed = peers.get("");
        boolean asked = token == p.theirs && number > p.helloAt && number <= p.sent && number > p.sent - WINDOW;
        boolean asSeed = !asked
                && seed != null
                && token == 0
                && number > seed.helloAt
                && number <= seed.sent
                && number > seed.sent - WINDOW;
        if ((!asked && !asSeed) || offered == 0) { // one of several that answer the same question, or one of old
            return drop(Drop.HELLO, from);
        }
        if (!genuine(p, key, bytes, length, from, now)) {
            return Opened.NOTHING;
        }
        if (asSeed) {
            seed.helloAt = number;
        } else {
            p.helloAt = number;
        }
        p.theirs = offered;
        return new Opened(name, null, 0, null);
    }

    private boolean genuine(Peer p, PublicKey key, byte[] bytes, int length, InetAddress from, long now) {
        if (!p.checks.take(1, now) || !checks.take(1, now)) {
            count(Drop.RATE, from);
            return false;
        }
        if (!Ed25519.verify(key, bytes, length - SEAL, Arrays.copyOfRange(bytes, length - SEAL, length))) {
            count(Drop.SEAL, from);
            return false;
        }
        return true;
    }

    // ---------------------------------------------------------------- the window of numbers, as RFC 6479 keeps it

    private static boolean unseen(Peer p, long number) {
        if (number > p.highest) {
            return true;
        }
        return number > p.highest - WINDOW + 64 && (p.seen[(int) (number / 64 % p.seen.length)] & 1L << number) == 0;
    }

    private static void see(Peer p, long number) {
        for (long block = Math.max(p.highest / 64 + 1, number / 64 - p.seen.length + 1);
                block <= number / 64;
                block++) {
            p.seen[(int) (block % p.seen.length)] = 0;
        }
        p.highest = Math.max(p.highest, number);
        p.seen[(int) (number / 64 % p.seen.length)] |= 1L << number;
    }

    // ---------------------------------------------------------------- the roster, and what is seen

    /** Those that went from the roster are forgotten. */
    public void remove(String name) {
        peers.remove(name);
    }

    private Opened drop(Drop why, InetAddress from) {
        count(why, from);
        return Opened.NOTHING;
    }

    private void count(Drop why, InetAddress from) {
        drops[why.ordinal()]++;
        sources.computeIfAbsent(from, f -> new long[1])[0]++;
    }

    public long dropped(Drop why) {
        return drops[why.ordinal()];
    }

    /** Dropped in all from that source; 0 where it is not, or no more, counted. */
    public long droppedFrom(InetAddress source) {
        long[] n = sources.get(source);
        return n == null ? 0 : n[0];
    }

    /** Sources that are counted. */
    public int sources() {
        return sources.size();
    }
}
