package elderseam.gossip.transport;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import elderseam.compat.RecordedBytes;
import elderseam.core.Clock;
import elderseam.http.IoLoop;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/** How envelopes lie on the sockets: in a datagram as they are, on a connection each after its length. */
class FrameCompatTest {
    private static final InetSocketAddress ANY_PORT = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    private static final byte[] ENVELOPE = "not opened here".getBytes(java.nio.charset.StandardCharsets.US_ASCII);
    private static final int WAIT_MS = 20_000;

    @Test
    void aConnection() throws Exception {
        byte[] built = ByteBuffer.allocate(4 + ENVELOPE.length)
                .putInt(ENVELOPE.length)
                .put(ENVELOPE)
                .array();
        byte[] frame = RecordedBytes.fromHex(RecordedBytes.lines("gossip/frame", List.of(RecordedBytes.hex(built)))
                .get(0));
        try (StreamTransport server = new StreamTransport(new IoLoop(new Clock()), ANY_PORT, (line, bytes) -> {
                    line.send(Arrays.equals(ENVELOPE, bytes) ? bytes : new byte[] {0});
                    line.end();
                });
                Socket client =
                        new Socket(server.local().getAddress(), server.local().getPort())) {
            client.setSoTimeout(WAIT_MS);
            client.getOutputStream().write(frame);
            assertArrayEquals(frame, client.getInputStream().readAllBytes());
        }
    }

    @Test
    void aDatagram() throws Exception {
        DatagramTransport[] server = new DatagramTransport[1];
        server[0] = new DatagramTransport(
                new IoLoop(new Clock()),
                ANY_PORT,
                (from, bytes, length) -> server[0].send(from, Arrays.copyOf(bytes, length)));
        try (DatagramTransport closed = server[0];
                DatagramSocket client = new DatagramSocket(ANY_PORT)) {
            client.setSoTimeout(WAIT_MS);
            client.send(new DatagramPacket(ENVELOPE, ENVELOPE.length, closed.local()));
            DatagramPacket answer = new DatagramPacket(new byte[100], 100);
            client.receive(answer);
            assertEquals(new String(ENVELOPE, UTF_8), new String(answer.getData(), 0, answer.getLength(), UTF_8));
        }
    }
}
