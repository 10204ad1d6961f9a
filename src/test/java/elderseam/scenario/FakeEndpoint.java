package elderseam.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** An upstream host of a scenario: it takes requests, and answers as the steps say. */
final class FakeEndpoint implements AutoCloseable {
    /** A close is seen within this: Undertow's own close drains for 10 s before it ends the socket. */
    private static final int CLOSE_TIMEOUT_S = 5;

    private static final int SMALL_RECEIVE_BUFFER_BYTES = 4_096;

    private record Request(RawHttpSocket.Link link, String message) {}

    private final BlockingQueue<Request> requests = new LinkedBlockingQueue<>();
    private final List<RawHttpSocket.Link> links =
            new ArrayList<>(); // also guards the hand-over of a link to its reader
    private final BlockingQueue<Socket> unreadSockets = new LinkedBlockingQueue<>();
    private final ServerSocket server;
    private final Consumer<String> observer;
    private RawHttpSocket.Link current; // of the request last expected
    private Socket begunSocket; // of which one byte has been read
    private volatile boolean readsNothing;

    /** Listens at an address of its own. {@code observer}: told in words what it sees. */
    FakeEndpoint(Consumer<String> observer) throws IOException {
        this.observer = observer;
        server = RawHttpSocket.listen(RawHttpSocket.own(), 0, socket -> {
            if (readsNothing) {
                unreadSockets.add(socket);
            } else {
                read(socket);
            }
        });
    }

    /** Its listening socket. */
    ServerSocket server() {
        return server;
    }

    /** Accepts connections from now on without reading from them, and with a small window. */
    void stopReading() throws IOException {
        server.setReceiveBufferSize(SMALL_RECEIVE_BUFFER_BYTES);
        readsNothing = true;
    }

    private synchronized void read(Socket socket) {
        RawHttpSocket.Link[] link = new RawHttpSocket.Link[1];
        synchronized (links) {
            link[0] = new RawHttpSocket.Link(
                    socket,
                    message -> {
                        synchronized (links) {
                            requests.add(new Request(link[0], message));
                        }
                    },
                    observer);
            links.add(link[0]);
        }
    }

    /** Does one step of a scenario. */
    void step(String verb, String words) throws IOException, InterruptedException {
        switch (verb) {
            case "expect" -> expectRequest(words);
            case "resume" -> read(begunSocket);
            case "send" -> current.write(ScenarioMessages.response(words));
            case "raw" -> current.write(ScenarioMessages.rawBytes(words));
            case "end" -> current.socket.shutdownOutput();
            case "close" -> resetConnections(words.equals("all"));
            default -> await(words);
        }
    }

    private void expectRequest(String parts) throws InterruptedException {
        Request request = requests.poll(RawHttpSocket.PATIENCE_S, TimeUnit.SECONDS);
        assertNotNull(request, "no request came");
        current = request.link;
        current.read.remove(request.message);
        ScenarioMessages.assertContains(request.message, parts);
    }

    private void resetConnections(boolean stopListening) throws IOException {
        if (stopListening) {
            server.close();
        }
        for (RawHttpSocket.Link link : List.copyOf(links)) {
            link.reset();
        }
    }

    private void await(String words) throws IOException, InterruptedException {
        switch (words) {
            case "begun" -> {
                begunSocket = unreadSockets.poll(RawHttpSocket.PATIENCE_S, TimeUnit.SECONDS);
                assertNotNull(begunSocket, "no connection came");
                assertEquals('P', begunSocket.getInputStream().read(), "the first byte of POST");
            }
            case "closed" -> assertEquals(RawHttpSocket.ENDED, current.read.poll(CLOSE_TIMEOUT_S, TimeUnit.SECONDS));
            default -> ScenarioMessages.assertQuiet(requests, words);
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
