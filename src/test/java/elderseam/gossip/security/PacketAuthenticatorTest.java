package elderseam.gossip.security;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import elderseam.gossip.Message;
import elderseam.gossip.Packet;
import elderseam.gossip.PacketCodec;
import elderseam.gossip.security.PacketAuthenticator.Drop;
import elderseam.gossip.security.PacketAuthenticator.Opened;
import java.net.InetAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Who gets in, and what a recorded, copied, cut or invented envelope comes to. */
class PacketAuthenticatorTest {
    private static final long S = 1_000_000_000L;
    private static final int MOST = Packet.DATAGRAM;

    @TempDir
    Path folder;

    private KeyFile keyA, keyB, keyC;
    private Roster roster;
    private InetAddress atA, atB;
    private PacketAuthenticator a, b;
    private long now;
    private int seed;

    @BeforeEach
    void two() throws Exception {
        keyA = KeyFile.make(folder.resolve("a"));
        keyB = KeyFile.make(folder.resolve("b"));
        keyC = KeyFile.make(folder.resolve("c"));
        roster = roster("a 127.1.0.0/16 " + keyA.text() + "\nb 127.2.0.1,127.2.0.2 " + keyB.text());
        atA = InetAddress.getByName("127.1.0.9");
        atB = InetAddress.getByName("127.2.0.1");
        a = door("a", keyA);
        b = door("b", keyB);
    }

    private Roster roster(String lines) throws Exception {
        return Roster.read(Files.writeString(folder.resolve("roster"), lines + "\n"));
    }

    /** A new life of an instance. */
    private PacketAuthenticator door(String name, KeyFile key) {
        return new PacketAuthenticator(name, new Keyring(key, roster), new SplittableRandom(++seed), now);
    }

    private static byte[] body(long number) {
        return PacketCodec.encode(new Packet(new Message.Ack(number), List.of(), List.of()), 100);
    }

    private byte[] fromA(long number) {
        return a.seal("b", body(number), 5, now);
    }

    private Opened atB(byte[] bytes) {
        return b.open(atA, bytes, bytes.length, MOST, 7, now);
    }

    /** The first envelope in vain, the hello, and then one that opens. */
    private void acquainted() {
        byte[] hello = atB(fromA(0)).back();
        Opened o = a.open(atB, hello, hello.length, MOST, 6, now);
        assertEquals("b", o.from());
        assertTrue(a.knows("b"));
        assertEquals(new Message.Ack(1), atB(fromA(1)).packet().message());
    }

    private void dropped(Drop why, byte[] bytes) {
        long before = b.dropped(why);
        Opened o = atB(bytes);
        assertNull(o.packet(), () -> "opened: " + o);
        assertNull(o.from());
        assertEquals(before + 1, b.dropped(why), why::name);
    }

    @Test
    void theFirstEnvelopeIsAnsweredByAHelloThatIsSmaller() {
        byte[] first = fromA(0), hello = atB(first).back();
        assertTrue(hello.length <= first.length + 24, hello.length + " for " + first.length);
        acquainted();
    }

    /** Each opens once, in any order, as far back as the window reaches. */
    @Test
    void aRepeatIsDropped() {
        acquainted();
        List<byte[]> all = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            all.add(fromA(i));
        }
        for (int i = 39; i >= 0; i -= 2) {
            assertNotNull(atB(all.get(i)).packet());
        }
        for (int i = 0; i < 40; i += 2) {
            assertNotNull(atB(all.get(i)).packet());
        }
        now += 10 * S;
        all.forEach(e -> dropped(Drop.REPLAYED, e));
        byte[] old = fromA(1);
        for (int i = 0; i < 1_100; i++) {
            fromA(i);
        }
        assertNotNull(atB(fromA(2)).packet());
        dropped(Drop.REPLAYED, old);
    }

    /** What was recorded before a restart of the receiver does not open after it, however soon. */
    @Test
    void aRestartOfTheReceiverForgetsNothingThatMatters() {
        acquainted();
        byte[] recorded = fromA(2);
        b = door("b", keyB);
        assertNull(atB(recorded).packet());
        acquainted();
        dropped(Drop.TOKEN, recorded);
    }

    /** Nor what a sender said in its earlier life, once it has spoken in the next. */
    @Test
    void aRestartOfTheSenderEndsItsEarlierLife() {
        acquainted();
        byte[] recorded = fromA(2);
        a = door("a", keyA);
        acquainted();
        dropped(Drop.TOKEN, recorded);
    }

    /** A hello of old, or of another question, moves nothing. */
    @Test
    void aHelloIsTakenOnceAndOnlyAsAnAnswer() {
        byte[] hello = atB(fromA(0)).back();
        assertEquals("b", a.open(atB, hello, hello.length, MOST, 6, now).from());
        assertNull(a.open(atB, hello, hello.length, MOST, 6, now).from());
        PacketAuthenticator other = door("a", keyA);
        other.seal("b", body(1), 5, now);
        assertNull(other.open(atB, hello, hello.length, MOST, 6, now).from());
        assertEquals(1, other.dropped(Drop.HELLO));
        assertNotNull(atB(fromA(1)).packet());
    }

    @Test
    void aSeedSaysItsName() {
        byte[] first = a.seal("", body(1), 5, now), hello = atB(first).back();
        assertEquals("b", a.open(atB, hello, hello.length, MOST, 6, now).from());
        assertNotNull(atB(fromA(1)).packet());
    }

    /** Another's address, a key that is not on the roster, a name that is not, another's key under a name that is. */
    @Test
    void whoIsNotWhoTheySay() throws Exception {
        acquainted();
        byte[] good = fromA(2);
        assertNull(b.open(atB, good, good.length, MOST, 7, now).packet());
        assertEquals(1, b.dropped(Drop.ADDRESS));
        dropped(Drop.KEY, door("a", keyC).seal("b", body(1), 5, now));
        dropped(Drop.UNKNOWN, door("x", keyC).seal("b", body(1), 5, now));
        dropped(Drop.UNKNOWN, b.seal("a", body(1), 5, now)); // its own name
        assertNotNull(atB(good).packet(), "none of that has harmed it");
        assertEquals(1, b.droppedFrom(atB));
    }

    /** Any byte that is changed: dropped, and the true one still opens. */
    @Test
    void aChangedByteIsSeen() {
        acquainted();
        byte[] good = fromA(2);
        for (int i = 0; i < good.length; i++) {
            byte[] bad = good.clone();
            bad[i] ^= 1;
            now += S; // the budget of checks is not the matter here
            assertNull(atB(bad).packet(), "byte " + i);
        }
        assertNotNull(atB(good).packet());
    }

    /** Both keys open while the roster has both; then only the one that is left. */
    @Test
    void aRotationHasTwoKeys() throws Exception {
        acquainted();
        roster = roster("a 127.1.0.0/16 " + keyA.text() + " " + keyC.text() + "\nb 127.2.0.1 " + keyB.text());
        b = door("b", keyB);
        acquainted();
        a = door("a", keyC);
        acquainted();
        roster = roster("a 127.1.0.0/16 " + keyC.text() + "\nb 127.2.0.1 " + keyB.text());
        b = door("b", keyB);
        acquainted();
        dropped(Drop.KEY, door("a", keyA).seal("b", body(1), 5, now));
    }

    /** A flood costs a look at a header; seals are checked at a bounded rate, and sources are counted in a bounded table. */
    @Test
    void aFloodIsBounded() throws Exception {
        acquainted();
        SplittableRandom random = new SplittableRandom(4);
        byte[] junk = new byte[600];
        for (int i = 0; i < 5_000; i++) {
            random.nextBytes(junk);
            InetAddress from = InetAddress.getByAddress(new byte[] {10, 0, (byte) (i / 256), (byte) i});
            assertNull(b.open(from, junk, random.nextInt(junk.length), MOST, 7, now)
                    .packet());
        }
        assertEquals(1_024, b.sources());
        assertEquals(5_000, b.dropped(Drop.FORM));
        byte[] large = new byte[MOST + 1];
        b.open(atA, large, large.length, MOST, 7, now);
        assertEquals(1, b.dropped(Drop.OVERSIZED));
        byte[] spoilt = fromA(2);
        spoilt[spoilt.length - 1] ^= 1;
        for (int i = 0; i < 1_000; i++) {
            atB(spoilt);
        }
        assertTrue(
                b.dropped(Drop.SEAL) <= 100 && b.dropped(Drop.RATE) >= 900,
                b.dropped(Drop.SEAL) + " seals were checked");
        int hellos = 0;
        for (int i = 0; i < 1_000; i++) {
            byte[] stranger = door("a", keyA).seal("b", body(1), 5, now);
            hellos += atB(stranger).back() == null ? 0 : 1;
        }
        assertTrue(hellos <= 2, hellos + " hellos in no time");
    }

    @Test
    void whoIsOffTheRosterIsOut() throws Exception {
        acquainted();
        byte[] good = fromA(2);
        Keyring keys = new Keyring(keyB, roster);
        b = new PacketAuthenticator("b", keys, new SplittableRandom(9), now);
        acquainted();
        keys.roster(roster("b 127.2.0.1 " + keyB.text()));
        b.remove("a");
        dropped(Drop.UNKNOWN, good);
        dropped(Drop.UNKNOWN, fromA(3));
    }
}
