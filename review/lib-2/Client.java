package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** A client of the platform: hands in messages, each on a connection of its own, and waits 400 ms for the answer. */
final class Client {
    private static final int ANSWER_TIMEOUT_MS = 400;

    private final Record record;
    private final String address;

    Client(Record record, String address) {
        this.record = record;
        this.address = address;
    }

    /** One request on a new connection; the answer, or null where none came in time. */
    static Http call(String address, String first, Map<String, String> headers, byte[] body, int timeoutMs) {
        int colon = address.indexOf(':');
        try (Socket socket = new Socket()) {
            int port = Integer.parseInt(address.substring(colon + 1));
            socket.connect(new InetSocketAddress(address.substring(0, colon), port), timeoutMs);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(timeoutMs);
            Map<String, String> all = new LinkedHashMap<>();
            all.put("Host", "api.internal");
            all.putAll(headers);
            socket.getOutputStream().write(Http.bytes(first, all, body));
            return Http.read(new BufferedInputStream(socket.getInputStream()));
        } catch (IOException e) {
            return null;
        }
    }

    /** Hands in a message; the status of the answer, or 0 where none came. */
    int send(String id, String lane, String org, long dest, long remainingMs, String key, String thread) {
        return send(id, lane, org, dest, remainingMs, key, thread, "body of " + id);
    }

    /** The same, with a body of its own. */
    int send(
            String id, String lane, String org, long dest, long remainingMs, String key, String thread, String text) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("X-Txn", id);
        headers.put("X-Lane", lane);
        headers.put("X-Org", org);
        headers.put("X-Remaining", remainingMs + "m");
        headers.put("X-Addressing", "dest=" + dest);
        if (!key.isEmpty()) {
            headers.put("Idempotency-Key", key);
        }
        String target = "/" + lane + (thread.isEmpty() ? "" : "?thread=" + thread);
        byte[] body = text.getBytes(StandardCharsets.UTF_8);
        Http answer = call(address, "POST " + target + " HTTP/1.1", headers, body, ANSWER_TIMEOUT_MS);
        int status = answer == null ? 0 : answer.status();
        record.line("client", "POST " + target + " X-Txn " + id + (key.isEmpty() ? "" : " key " + key) + " dest=" + dest
                + " -> " + (status == 0 ? "no answer" : status));
        return status;
    }
}
