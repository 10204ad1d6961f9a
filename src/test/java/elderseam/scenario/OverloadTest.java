package elderseam.scenario;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.Socket;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Isolated;

/** A flood takes a core: no other class runs beside it. */
@Isolated
class OverloadTest extends GossipFleet {
    /** Junk at full speed at the port of one that goes on serving; it is counted, and the fleet holds. */
    @Test
    void aFloodOfJunk() throws Exception {
        roster("n1", "n2");
        start("n1");
        start("n2");
        all(List.of("n1"), "relay expect gossip.member_changed member=n2 state=ALIVE\n");
        AtomicBoolean over = new AtomicBoolean();
        long[] sent = new long[1];
        Thread flood = new Thread(() -> {
            SplittableRandom random = new SplittableRandom(1);
            byte[] junk = new byte[1_400];
            random.nextBytes(junk);
            try (DatagramSocket socket = new DatagramSocket()) {
                while (!over.get()) {
                    socket.send(new DatagramPacket(junk, 20 + random.nextInt(1_380), at.get("n1"), port));
                    sent[0]++;
                }
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        });
        flood.start();
        try {
            for (int i = 0; i < 10; i++) {
                run("n1", SAY.formatted(i, "flooded" + i));
            }
            try (Socket half = new Socket(at.get("n1"), port)) { // and a connection that says a length and hangs
                half.getOutputStream().write(new byte[] {0, 1, 0, 0, 7});
                run("n1", SAY.formatted("h", "hung"));
            }
        } finally {
            over.set(true);
            flood.join();
        }
        assertTrue(sent[0] > 1_000, sent[0] + " datagrams");
        run("n1", "relay hangup\nrelay wait reload\nrelay expect gossip.counts counts= ... form\n");
        run("n2", "relay close kill\n");
        run("n1", "relay expect gossip.member_changed member=n2 state=DEAD\n");
    }
}
