package review2;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * An endpoint: it begins a call once its last byte has arrived, works for a while and answers, as the protocol page has
 * it. Whatever becomes of the connection meanwhile, a call that has begun runs.
 */
final class Endpoint {
    /** One call that has arrived. */
    record Call(String endpoint, String id, String key, long arrivedNs, String body) {}

    /** What a call comes to: after so long, this status with these headers; status 0 for none. */
    record Reply(long afterMs, int status, Map<String, String> headers) {
        static Reply ok(long afterMs) {
            return new Reply(afterMs, 200, Map.of());
        }

        static Reply none() {
            return new Reply(0, 0, Map.of());
        }
    }

    private final Record record;
    private final String name;
    private final Function<Call, Reply> behaviour;
    private final List<Call> calls = new ArrayList<>(); // guarded by itself
    final Server server;

    Endpoint(Record record, String name, Function<Call, Reply> behaviour) throws IOException {
        this.record = record;
        this.name = name;
        this.behaviour = behaviour;
        this.server = new Server(this::handle);
    }

    String address() {
        return server.address();
    }

    /** All calls that have arrived, in their order. */
    List<Call> calls() {
        synchronized (calls) {
            return List.copyOf(calls);
        }
    }

    private void handle(Http request, Server.Link link) throws IOException, InterruptedException {
        if (!request.method().equals("POST") || !request.target().equals("/receive")) {
            link.answer(404);
            return;
        }
        Call call = new Call(
                name, request.header("X-Txn"), request.header("Idempotency-Key"), System.nanoTime(), request.text());
        synchronized (calls) {
            calls.add(call);
        }
        record.line(name, "call " + call.id + (call.key.isEmpty() ? "" : " key " + call.key));
        Reply reply = behaviour.apply(call);
        if (reply.status == 0) {
            return;
        }
        Thread.sleep(reply.afterMs);
        link.answer(reply.status, reply.headers, "");
        record.line(name, "answered " + call.id + " " + reply.status);
    }
}
