package upgrades;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Hands messages in. */
final class Client {
    /** A message that was handed in: when its time is up, and whether it was taken on. */
    record HandedIn(String id, String messageClass, double deadline, int status) {
        boolean taken() {
            return status == 200 || status == 202;
        }
    }

    private Client() {}

    /** Hands one message in on a connection of its own, and waits 400 ms for the answer. */
    static HandedIn handIn(String address, String id, String messageClass, int destination, long remainingMs, Record record)
            throws IOException {
        String body = "{\"of\":\"" + id + "\"}";
        String request = "POST /" + messageClass + " HTTP/1.1\r\nHost: api.internal\r\nX-Txn: " + id + "\r\nX-Lane: "
                + messageClass + "\r\nX-Org: khomas-homes\r\nX-Remaining: " + remainingMs + "m\r\nIdempotency-Key: key-" + id
                + "\r\nContent-Length: " + body.length() + "\r\nX-Addressing: dest=" + destination + "\r\n\r\n" + body;
        try (Socket socket = new Socket()) {
            socket.connect(Http.socketAddress(address), 400);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(400);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
            double deadline = Record.now() + remainingMs;
            Http.Message answer = Http.read(socket.getInputStream());
            int status = answer == null ? 0 : answer.status();
            if (record != null) {
                record.line("client: %s %s, its time is up at %.1f, answered %d", messageClass, id, deadline, status);
            }
            return new HandedIn(id, messageClass, deadline, status);
        }
    }
}
