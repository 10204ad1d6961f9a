package elderseam.frontend.platform;

import elderseam.core.AttemptOutcome.Progress;
import elderseam.core.Clock;
import elderseam.http.EndpointAddress;
import elderseam.http.EndpointConnectionPool;
import elderseam.http.HttpRequest;
import elderseam.http.HttpResult;
import elderseam.http.HttpServer;
import elderseam.http.IoLoop;
import io.undertow.util.HttpString;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * During an upgrade, forwards requests that still arrive at the predecessor process to its successor, and returns the
 * successor's responses. Requests are queued until the successor listens. The limit on client connections also limits
 * the queue, since each connection carries one request at a time. Confined to the I/O thread.
 */
public final class SuccessorProxy {
    /** The timeout of a forwarded request; longer than the 0.4 s for which a client waits. */
    private static final long ANSWER_TIMEOUT_NS = 2_000 * Clock.MILLISECOND_NS;

    /** The maximum number of forwarded requests in flight; both processes share one limit on file descriptors. */
    private static final int MAX_IN_FLIGHT = 32;

    private static final int MAX_ANSWER_BODY_BYTES = 1 << 10;
    private static final String RETRY_AFTER_S = "0.100";
    private static final long NS_PER_MICROSECOND = 1_000;

    /** Lower-case names of headers that apply to a single connection and are not forwarded. */
    private static final Set<String> CONNECTION_HEADERS =
            Set.of("host", "connection", "content-length", "transfer-encoding", "expect");

    private record QueuedRequest(HttpServer.Request request, HttpServer.Answerer answerer, long receivedAt) {}

    private final IoLoop io;
    private final EndpointConnectionPool connections;
    private final EndpointAddress successor;
    private final ArrayDeque<QueuedRequest> queue = new ArrayDeque<>();
    private boolean successorListens;
    private int inFlight;

    /**
     * @param successor the address at which the successor will listen
     */
    public SuccessorProxy(IoLoop io, InetSocketAddress successor) {
        this.io = io;
        this.connections = new EndpointConnectionPool(io, ANSWER_TIMEOUT_NS, MAX_IN_FLIGHT, MAX_ANSWER_BODY_BYTES);
        this.successor =
                new EndpointAddress("next", successor.getAddress().getHostAddress() + ":" + successor.getPort());
    }

    /** Queues a client's request, to be forwarded once the successor listens and the limit in flight permits. */
    public void handle(HttpServer.Request request, HttpServer.Answerer answerer) {
        queue.add(new QueuedRequest(request, answerer, io.clock.now()));
        forwardQueued();
    }

    /** Starts forwarding, beginning with the queued requests. Called once the successor listens. */
    public void startForwarding() {
        successorListens = true;
        forwardQueued();
    }

    /** Passes the queued requests to this process's own handler. Called if the successor will never listen. */
    public void handleQueuedLocally(HttpServer.Handler handler) {
        List<QueuedRequest> queued = List.copyOf(queue);
        queue.clear();
        for (QueuedRequest request : queued) {
            if (!rejectIfClientLeft(request)) {
                handler.handle(withUpdatedRemainingTime(request), request.answerer);
            }
        }
    }

    /** Whether no request is queued or in flight. */
    public boolean isIdle() {
        return inFlight == 0 && queue.isEmpty();
    }

    private void forwardQueued() {
        while (successorListens && inFlight < MAX_IN_FLIGHT && !queue.isEmpty()) {
            forward(queue.poll());
        }
    }

    /** A message that its client has given up while it was queued is not passed on. Returns whether that is so. */
    private static boolean rejectIfClientLeft(QueuedRequest queued) {
        boolean left = queued.request.method().equals("POST") && queued.answerer.hasClientLeft();
        if (left) {
            queued.answerer.answer(503, Map.of("Retry-After", RETRY_AFTER_S), "");
        }
        return left;
    }

    private void forward(QueuedRequest queued) {
        if (rejectIfClientLeft(queued)) {
            return;
        }
        HttpServer.Request request = withUpdatedRemainingTime(queued);
        HttpRequest forwarded =
                new HttpRequest(request.method(), request.target(), endToEndHeaders(request), request.body());
        inFlight++;
        long deadline = io.clock.now() + ANSWER_TIMEOUT_NS;
        connections.send(successor, forwarded, deadline, deadline, result -> {
            inFlight--;
            answer(result, queued.answerer);
            forwardQueued();
        });
    }

    /** The first value of each header that does not belong to the connection. */
    private static Map<String, String> endToEndHeaders(HttpServer.Request request) {
        Map<String, String> headers = new HashMap<>();
        request.headers().forEach(header -> {
            String name = header.getHeaderName().toString();
            if (!CONNECTION_HEADERS.contains(name.toLowerCase(Locale.ROOT))) {
                headers.put(name, header.getFirst());
            }
        });
        return headers;
    }

    /**
     * Answers a client. A request that the successor may have accepted without answering gets no response and is not
     * rejected: its client sends the request again with a new id.
     */
    private static void answer(HttpResult result, HttpServer.Answerer answerer) {
        if (result.answered()) {
            String retryAfter = result.header("Retry-After");
            Map<String, String> headers = retryAfter.isEmpty() ? Map.of() : Map.of("Retry-After", retryAfter);
            answerer.answer(result.code(), headers, new String(result.body(), StandardCharsets.UTF_8));
        } else if (result.progress() == Progress.NOT_CONNECTED || result.progress() == Progress.PARTLY_WRITTEN) {
            answerer.answer(503, Map.of("Retry-After", RETRY_AFTER_S), "");
        }
    }

    /** Returns the request after subtracting its time in the queue from the remaining time in its header. */
    private HttpServer.Request withUpdatedRemainingTime(QueuedRequest queued) {
        HttpServer.Request request = queued.request;
        long remainingNs =
                PlatformRequestDecoder.parseRemainingNs(request.header(PlatformRequestDecoder.REMAINING_HEADER));
        long queuedNs = io.clock.now() - queued.receivedAt;
        if (remainingNs > 0 && queuedNs > Clock.MILLISECOND_NS) {
            String newRemaining = Math.max(0, remainingNs - queuedNs) / NS_PER_MICROSECOND + "u";
            request.headers().put(new HttpString(PlatformRequestDecoder.REMAINING_HEADER), newRemaining);
        }
        return request;
    }
}
