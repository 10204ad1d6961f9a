package elderseam.frontend.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import elderseam.core.ActiveRequest;
import elderseam.core.Clock;
import elderseam.core.FinalOutcome;
import elderseam.http.EndpointAddress;
import elderseam.http.EndpointConnectionPool;
import elderseam.http.HttpServer;
import elderseam.http.IoLoop;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests notifications to a platform whose responses are sent by the test. */
class NotificationSenderTest {
    private static final int TIMEOUT_S = 10;
    private static final long LOST_AFTER_MS = 300;
    private static final long SECOND_NS = 1_000 * Clock.MILLISECOND_NS;

    private record Call(String body, HttpServer.Answerer answerer) {}

    private final BlockingQueue<Call> calls = new LinkedBlockingQueue<>();
    private final IoLoop io;
    private final NotificationSender sender;

    NotificationSenderTest() throws Exception {
        io = new IoLoop(new Clock());
        EndpointAddress address = LoopbackDispatcher.serve(
                io,
                (request, answerer) ->
                        calls.add(new Call(new String(request.body(), StandardCharsets.UTF_8), answerer)));
        sender = new NotificationSender(
                io,
                new EndpointConnectionPool(io, 10 * SECOND_NS, 8, LoopbackDispatcher.MAX_BYTES),
                address,
                LoopbackDispatcher.create(io));
    }

    private void onIoThread(Runnable task) throws Exception {
        CompletableFuture<Void> done = new CompletableFuture<>();
        io.run(() -> {
            task.run();
            done.complete(null);
        });
        done.get(TIMEOUT_S, TimeUnit.SECONDS);
    }

    private Call nextCall() throws InterruptedException {
        Call call = calls.poll(TIMEOUT_S, TimeUnit.SECONDS);
        assertNotNull(call, "no call received within " + TIMEOUT_S + " s");
        return call;
    }

    /**
     * An acknowledgement applies only to the notification that was sent. If another outcome of the same request has
     * replaced it in the meantime, the new notification is still sent.
     */
    @Test
    void outcomeReplacedDuringCallIsSentAfterwards() throws Exception {
        long deadline = io.clock.now() + 9 * SECOND_NS;
        ActiveRequest.Message message = message("m", deadline);
        onIoThread(() -> {
            sender.add(message, FinalOutcome.rejected(500 * Clock.MILLISECOND_NS));
            sender.flush();
        });
        Call first = nextCall();
        assertEquals("{\"id\":\"m\",\"status\":\"deferred\",\"again_ms\":500}\n", first.body);
        onIoThread(() -> sender.add(message, FinalOutcome.FAILED));
        onIoThread(() -> first.answerer.answer(204, Map.of(), ""));
        Call second = nextCall();
        assertEquals("{\"id\":\"m\",\"status\":\"undeliverable\"}\n", second.body);
        onIoThread(() -> second.answerer.answer(204, Map.of(), ""));
        long timeoutAt = System.nanoTime() + TIMEOUT_S * SECOND_NS;
        int[] unacknowledged = {1};
        while (unacknowledged[0] > 0 && System.nanoTime() < timeoutAt) {
            onIoThread(() -> unacknowledged[0] = sender.unacknowledgedCount());
        }
        assertEquals(0, unacknowledged[0]);
    }

    /** A message counts as lost 300 ms after its time, though it is another call of the platform that gets no answer. */
    @Test
    void aCallWithoutAnAnswerHoldsUpNoOtherNotification() throws Exception {
        long deadline = io.clock.now() + SECOND_NS;
        onIoThread(() -> {
            sender.add(message("silent", deadline), FinalOutcome.FAILED);
            sender.flush();
        });
        nextCall();
        onIoThread(() -> {
            sender.add(message("next", io.clock.now()), FinalOutcome.FAILED);
            sender.flush();
        });
        Call second = calls.poll(LOST_AFTER_MS, TimeUnit.MILLISECONDS);
        assertNotNull(second, "no call within " + LOST_AFTER_MS + " ms");
        assertEquals("{\"id\":\"next\",\"status\":\"undeliverable\"}\n", second.body);
    }

    private static ActiveRequest.Message message(String id, long deadline) {
        return new ActiveRequest.Message(id, (byte) 0, 0, -1, 1, deadline, deadline, false, true, "", new byte[0]);
    }
}
