package elderseam.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import elderseam.core.Clock;
import elderseam.core.UpstreamRequest.Progress;
import elderseam.core.UpstreamRequest.Status;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** How far an attempt had come when it broke: only past its last byte may the other side have run it. */
class ProgressTest {
    private final Io io;
    private final Connections connections;

    ProgressTest() throws Exception {
        io = new Io(new Clock());
        connections = new Connections(io, 1_000 * Clock.MS, 50, 64 << 10);
    }

    private CompletableFuture<Reply> send(int port, int bytes, long connectMs) {
        CompletableFuture<Reply> reply = new CompletableFuture<>();
        long by = io.clock.now() + 10_000 * Clock.MS;
        io.run(() -> connections.send(new UpstreamHost("h", "127.0.0.1:" + port),
                new Call("POST", "/x", Map.of(), new byte[bytes]), io.clock.now() + connectMs * Clock.MS, by, reply::complete));
        return reply;
    }

    private static void check(Progress progress, Status failure, CompletableFuture<Reply> reply) throws Exception {
        Reply r = reply.get(20, TimeUnit.SECONDS);
        assertEquals(List.of(progress, failure), List.of(r.progress(), r.failure()));
    }

    @Test
    void aRefusedConnection() throws Exception {
        ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        server.close();
        check(Progress.NOT_CONNECTED, Status.BROKEN, send(server.getLocalPort(), 10, 5_000));
    }

    /** A full backlog takes no more: the connection never comes up, as with a host that has vanished. */
    @Test
    void aConnectionThatNeverComesUp() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            List<CompletableFuture<Reply>> replies = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                replies.add(send(server.getLocalPort(), 10, 700));
            }
            check(Progress.NOT_CONNECTED, Status.TIMED_OUT, replies.get(5));
        }
    }

    @Test
    void aBreakBeforeAndAfterTheLastByte() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            CompletableFuture<Reply> large = send(server.getLocalPort(), 32 << 20, 5_000);
            try (Socket s = server.accept()) {
                s.getInputStream().readNBytes(100);
                s.setSoLinger(true, 0);
            }
            check(Progress.PARTLY_WRITTEN, Status.BROKEN, large);
            CompletableFuture<Reply> small = send(server.getLocalPort(), 10, 5_000);
            try (Socket s = server.accept()) {
                InputStream in = s.getInputStream();
                for (int seen = 0; seen < 4; ) {   // to the end of the headers, then the body
                    seen = in.read() == "\r\n\r\n".charAt(seen) ? seen + 1 : 0;
                }
                in.readNBytes(10);
                s.setSoLinger(true, 0);
            }
            check(Progress.WRITTEN, Status.BROKEN, small);
        }
    }
}
