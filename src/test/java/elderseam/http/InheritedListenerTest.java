package elderseam.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import elderseam.core.Clock;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** A listening socket that others hold too: two servers on it, as two processes have, one accepting at a time. */
class InheritedListenerTest {
    private static final String ASK = "GET /who HTTP/1.1\r\nHost: x\r\n\r\n";

    private static HttpServer server(IoLoop io, ServerSocketChannel socket, String name) throws Exception {
        CompletableFuture<HttpServer> made = new CompletableFuture<>();
        io.run(() -> {
            try {
                made.complete(new HttpServer(
                        io,
                        (InetSocketAddress) socket.getLocalAddress(),
                        socket,
                        1 << 10,
                        32,
                        1 << 20,
                        null,
                        (r, to) -> to.answer(200, Map.of(), name)));
            } catch (Exception e) {
                made.completeExceptionally(e);
            }
        });
        return made.get(5, TimeUnit.SECONDS);
    }

    private static String ask(Socket s) throws Exception {
        s.setSoTimeout(5_000);
        s.getOutputStream().write(ASK.getBytes(StandardCharsets.US_ASCII));
        InputStream in = s.getInputStream();
        StringBuilder text = new StringBuilder();
        while (!text.toString().contains("\r\n\r\n")) {
            text.append((char) in.read());
        }
        int length = Integer.parseInt(text.toString().replaceAll("(?s).*Content-Length: (\\d+).*", "$1"));
        return new String(in.readNBytes(length), StandardCharsets.US_ASCII);
    }

    @Test
    void connectionsGoToWhoeverAcceptsAndAreKept() throws Exception {
        try (ServerSocketChannel socket =
                ServerSocketChannel.open().bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))) {
            IoLoop io = new IoLoop(new Clock());
            HttpServer older = server(io, socket, "older");
            InetSocketAddress at = older.address();
            Socket kept = new Socket(at.getAddress(), at.getPort());
            assertEquals("older", ask(kept));
            CompletableFuture<Void> stopped = new CompletableFuture<>();
            io.run(() -> {
                older.stopAccepting();
                stopped.complete(null);
            });
            stopped.get(5, TimeUnit.SECONDS);
            Socket between = new Socket(at.getAddress(), at.getPort()); // waits at the socket, which nobody closes
            HttpServer newer = server(io, socket, "newer");
            assertEquals("newer", ask(between));
            assertEquals("older", ask(kept), "a connection stays where it was accepted, and is kept");
            assertTrue(newer.openConnections() >= 1);
            kept.close();
            between.close();
        }
    }
}
