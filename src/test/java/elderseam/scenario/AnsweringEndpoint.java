package elderseam.scenario;

import java.io.IOException;
import java.net.ServerSocket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** An endpoint that answers each call with 200 after a fixed time, and records the ids of the messages that it got. */
final class AnsweringEndpoint implements AutoCloseable {
    private static final Pattern ID = Pattern.compile("(?i)\r\nX-Txn: *([^\r]*)\r\n");

    private final Set<String> ids = ConcurrentHashMap.newKeySet();
    private final ServerSocket server;

    /** {@code delayMs}: the time from the last byte of a call to its answer. */
    AnsweringEndpoint(long delayMs) throws IOException {
        server = RawHttpSocket.listen(RawHttpSocket.own(), 0, socket -> {
            RawHttpSocket.Link[] link = new RawHttpSocket.Link[1];
            synchronized (ids) {
                link[0] = new RawHttpSocket.Link(socket, message -> answer(link, message, delayMs), event -> {});
            }
        });
    }

    private void answer(RawHttpSocket.Link[] link, String message, long delayMs) {
        try {
            TimeUnit.MILLISECONDS.sleep(delayMs); // one call at a time travels on a connection
            synchronized (ids) { // until the link has been stored
                Matcher id = ID.matcher(message);
                if (id.find()) {
                    ids.add(id.group(1));
                }
                link[0].write(RawHttpSocket.answer(200, "", ""));
                link[0].read.clear();
            }
        } catch (IOException | InterruptedException e) {
            // the program has closed the connection
        }
    }

    /** Its listening socket. */
    ServerSocket server() {
        return server;
    }

    /** Whether a message with that id came. */
    boolean got(String id) {
        return ids.contains(id);
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
