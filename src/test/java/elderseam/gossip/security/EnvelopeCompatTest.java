package elderseam.gossip.security;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import elderseam.compat.RecordedBytes;
import elderseam.gossip.HealthReport;
import elderseam.gossip.Message;
import elderseam.gossip.Packet;
import elderseam.gossip.PacketCodec;
import elderseam.gossip.security.PacketAuthenticator.Opened;
import java.io.IOException;
import java.net.InetAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Key files, a roster and signed envelopes of an earlier build: read, and with the same keys written again to the byte. */
class EnvelopeCompatTest {
    private static final long WALL_MS = 1_700_000_000_123L, NOW = 0, RANDOM = 0x0123_4567_89ab_cdefL;
    private static final Message MESSAGE = new Message.Ack(42);
    private static final byte[] BODY = PacketCodec.encode(new Packet(MESSAGE, List.of(), List.of()), Packet.DATAGRAM);
    private static final String KEYS = "gossip/keys", ROSTER = "roster";

    @TempDir
    Path folder;

    private KeyFile keyA, keyB;
    private Roster roster;
    private InetAddress atA, atB;

    @BeforeEach
    void readKeys() throws IOException {
        if (RecordedBytes.missing(KEYS)) {
            Path keys = Files.createDirectories(RecordedBytes.path(KEYS));
            String a = KeyFile.make(keys.resolve("a")).text(),
                    b = KeyFile.make(keys.resolve("b")).text(),
                    next = KeyFile.make(keys.resolve("next")).text();
            Files.writeString(
                    keys.resolve(ROSTER),
                    "# NAME CIDR[,CIDR...] KEY [KEY]\n\na 127.1.0.0/16,fd00::/64 " + a + " " + next + "\nb 127.2.0.1 "
                            + b + "\n");
        }
        Path copy = RecordedBytes.copy(RecordedBytes.path(KEYS), folder.resolve("keys"));
        keyA = KeyFile.read(copy.resolve("a"));
        keyB = KeyFile.read(copy.resolve("b"));
        roster = Roster.read(copy.resolve(ROSTER));
        atA = InetAddress.getByName("127.1.0.9");
        atB = InetAddress.getByName("127.2.0.1");
    }

    private PacketAuthenticator door(String name, KeyFile key) {
        return new PacketAuthenticator(name, new Keyring(key, roster), () -> RANDOM, NOW);
    }

    private static Opened open(PacketAuthenticator door, InetAddress from, byte[] bytes) {
        return door.open(from, bytes, bytes.length, Packet.DATAGRAM, WALL_MS, NOW);
    }

    @Test
    void roster() {
        assertEquals(
                List.of("a", "b"), roster.all().stream().map(Roster.Entry::name).toList());
        assertEquals(
                List.of("127.1.0.0/16", "fd00::/64"),
                roster.get("a").ranges().stream().map(Object::toString).toList());
        assertEquals(2, roster.get("a").texts().size());
        assertEquals(List.of(keyB.text()), roster.get("b").texts());
    }

    /** A new key file has other keys, and the same lines. */
    @Test
    void keyFiles() throws IOException {
        KeyFile.make(folder.resolve("made"));
        assertEquals(shape(RecordedBytes.path(KEYS).resolve("a")), shape(folder.resolve("made")));
    }

    private static List<String> shape(Path keyFile) throws IOException {
        return Files.readAllLines(keyFile).stream()
                .map(l -> l.startsWith("-----") ? l : l.replaceAll("[A-Za-z0-9+/]", "x"))
                .toList();
    }

    /** The first envelope, the hello that answers it, and one that opens; and the signature of a report. */
    @Test
    void envelopes() throws IOException {
        PacketAuthenticator a = door("a", keyA), b = door("b", keyB);
        byte[] first = a.seal("b", BODY, WALL_MS, NOW),
                hello = open(b, atA, first).back();
        assertEquals("b", open(a, atB, hello).from());
        byte[] data = a.seal("b", BODY, WALL_MS, NOW);
        byte[] claim = PacketCodec.sealed(
                new HealthReport("a", 1, 2, 3, HealthReport.State.OPEN, 4, 20, 10, 10_000), WALL_MS, keyA.number());
        byte[] signature = new Keyring(keyA, roster).seal(claim);
        List<String> written = List.of(
                RecordedBytes.hex(first),
                RecordedBytes.hex(hello),
                RecordedBytes.hex(data),
                RecordedBytes.hex(signature));
        List<String> recorded = RecordedBytes.lines("gossip/envelopes", written);
        assertEquals(recorded, written);

        PacketAuthenticator receiver = door("b", keyB), sender = door("a", keyA);
        assertArrayEquals(
                RecordedBytes.fromHex(recorded.get(1)),
                open(receiver, atA, RecordedBytes.fromHex(recorded.get(0))).back());
        sender.seal("b", BODY, WALL_MS, NOW);
        assertEquals(
                "b", open(sender, atB, RecordedBytes.fromHex(recorded.get(1))).from());
        Opened opened = open(receiver, atA, RecordedBytes.fromHex(recorded.get(2)));
        assertEquals(MESSAGE, opened.packet().message());
        assertEquals("a", opened.from());
        assertEquals(WALL_MS, opened.wallMs());
        assertTrue(
                new Keyring(keyB, roster).genuine("a", keyA.number(), claim, RecordedBytes.fromHex(recorded.get(3))));
    }
}
