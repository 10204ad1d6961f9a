package elderseam.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** The clients of a scenario: one connection each, made when a step first needs it, by the client's name. */
final class ClientConnections {
    /** Tells where the program listens for a client. */
    interface Addresses {
        /** The address as host:port, once the program listens there. */
        String of(String client) throws IOException;
    }

    private final Addresses addresses;
    private final ScenarioTimeline timeline;
    private final Map<String, RawHttpSocket.Link> links = new HashMap<>();

    ClientConnections(Addresses addresses, ScenarioTimeline timeline) {
        this.addresses = addresses;
        this.timeline = timeline;
    }

    /** Forgets all connections, which are left as they are. */
    void clear() {
        links.clear();
    }

    /** Does one step of a scenario. */
    void step(String client, String verb, String words) throws IOException, InterruptedException {
        switch (verb) {
            case "send" -> write(client, ScenarioMessages.request(words));
            case "raw" -> write(client, ScenarioMessages.rawBytes(words));
            case "expect" -> ScenarioMessages.assertContains(connect(client).next(), words);
            case "close" -> links.remove(client).reset();
            case "end" -> links.get(client).socket.shutdownOutput();
            default -> awaitEnd(client, words);
        }
    }

    private void write(String client, String text) throws IOException {
        RawHttpSocket.Link link = links.get(client);
        if (link == null) {
            connect(client, text);
        } else {
            link.write(text);
        }
    }

    private RawHttpSocket.Link connect(String client) throws IOException {
        RawHttpSocket.Link link = links.get(client);
        return link == null ? connect(client, "") : link;
    }

    /** Connects and writes at once, before anything else: a connection on which nothing comes for 2.4 s is closed. */
    private RawHttpSocket.Link connect(String client, String text) throws IOException {
        String[] hostAndPort = addresses.of(client).split(":");
        Socket socket = new Socket(hostAndPort[0], Integer.parseInt(hostAndPort[1]));
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        timeline.record(client, "connects and writes " + text);
        RawHttpSocket.Link link =
                new RawHttpSocket.Link(socket, message -> {}, event -> timeline.record(client, event));
        links.put(client, link);
        return link;
    }

    /** {@code ended}, {@code closed} or {@code closed MS}. */
    private void awaitEnd(String client, String words) throws InterruptedException {
        boolean inOrder = words.equals("ended");
        long timeoutMs = inOrder || words.equals("closed")
                ? 1_000 * RawHttpSocket.PATIENCE_S
                : Long.parseLong(words.substring("closed ".length()));
        RawHttpSocket.Link link = links.remove(client);
        assertEquals(RawHttpSocket.ENDED, link.read.poll(timeoutMs, TimeUnit.MILLISECONDS));
        if (inOrder) {
            assertFalse(link.reset, "the connection was reset");
        }
    }
}
