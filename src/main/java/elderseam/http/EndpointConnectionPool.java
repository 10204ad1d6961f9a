package elderseam.http;

import elderseam.core.Clock;
import elderseam.core.ConnectionReuse;
import elderseam.core.ResponseAnomalyListener;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A pool of connections to endpoints. The idle timeout is shorter than that of the endpoints, and the number of open
 * connections is limited. A connection carries one exchange at a time (no pipelining), and the pool itself never
 * retries a request.
 *
 * <p>HTTP/1.1 matches a response to its request by its place on the connection alone. So a connection is used again
 * only by {@link EndpointReuseRules}, and for those requests that allow it, by {@link ConnectionReuse}. A success on a
 * connection that was used before remains unsettled until its request would have timed out: a further response that is
 * no success refutes it.
 *
 * <p>When an exchange is cancelled or times out, and after input that is not believed, the connection is half-closed, so
 * that the endpoint can detect that no response is awaited any more. The connection is then read for a short time, for a
 * late response and for further heads of responses, and closed. Confined to the I/O thread.
 */
public final class EndpointConnectionPool {
    private static final long SWEEP_INTERVAL_NS = 100 * Clock.MILLISECOND_NS;

    /** How long a half-closed connection is read for the late response to its cancelled exchange. */
    private static final long LATE_RESPONSE_TIMEOUT_NS = 1_000 * Clock.MILLISECOND_NS;

    private static final int MAX_HALF_CLOSED = 32;
    private static final int READ_BUFFER_BYTES = 16 << 10;
    private static final int INITIAL_IDLE_CAPACITY = 2;
    private static final ArrayDeque<EndpointConnection> NO_CONNECTIONS = new ArrayDeque<>(0);

    final IoLoop io;
    private final LocalFailures localFailures;
    private final UnexpectedInput unexpectedInput;
    private final DiscardedResponses discardedResponses;
    private final EndpointReuseRules reuseRules;
    final int maxResponseBytes;

    /** The bytes of the last read on any of the connections; valid only until the next read. */
    final ByteBuffer readBuffer = ByteBuffer.allocateDirect(READ_BUFFER_BYTES);

    /** Idle connections by endpoint, the most recently used last; no queue is empty. */
    final Map<EndpointAddress, ArrayDeque<EndpointConnection>> idle = new HashMap<>();

    private final UnsettledResponses unsettledResponses;
    private final ArrayDeque<EndpointConnection> halfClosed = new ArrayDeque<>(); // oldest first
    private final long maxIdleNs;
    private int maxConnections;
    private int openConnections; // including those still connecting
    private long connectionsCreated;
    private boolean sweepScheduled;

    /**
     * Creates an empty pool that keeps no answered requests.
     *
     * @param maxIdleNs the idle timeout of a connection in nanoseconds
     * @param maxConnections the maximum number of open connections
     * @param maxResponseBytes a response with a longer body is malformed
     */
    public EndpointConnectionPool(IoLoop io, long maxIdleNs, int maxConnections, int maxResponseBytes) {
        this(io, maxIdleNs, maxConnections, maxResponseBytes, 0);
    }

    /**
     * Creates an empty pool.
     *
     * @param maxIdleNs the idle timeout of a connection in nanoseconds
     * @param maxConnections the maximum number of open connections
     * @param maxResponseBytes a response with a longer body is malformed
     * @param maxUnsettledBytes the maximum total size of the answered requests' bodies that are kept to repeat them if
     *     their responses are refuted
     */
    public EndpointConnectionPool(
            IoLoop io, long maxIdleNs, int maxConnections, int maxResponseBytes, long maxUnsettledBytes) {
        this.io = io;
        this.unsettledResponses = new UnsettledResponses(maxUnsettledBytes);
        this.localFailures = new LocalFailures(io.clock);
        this.unexpectedInput = new UnexpectedInput(io.clock);
        this.discardedResponses = new DiscardedResponses(io.clock);
        this.reuseRules = new EndpointReuseRules(io.clock);
        this.maxIdleNs = maxIdleNs;
        this.maxConnections = maxConnections;
        this.maxResponseBytes = maxResponseBytes;
    }

    /** Sets the maximum number of open connections. Connections that are already open stay open. */
    public void setMaxConnections(int maxConnections) {
        this.maxConnections = maxConnections;
    }

    /** Closes the idle connections to an endpoint. */
    public void closeIdle(EndpointAddress endpoint) {
        ArrayDeque<EndpointConnection> connections = idle.remove(endpoint);
        if (connections != null) {
            connections.forEach(EndpointConnection::close);
        }
    }

    /** Closes all idle connections. */
    public void closeIdle() {
        List.copyOf(idle.keySet()).forEach(this::closeIdle);
    }

    /** Sets the listener that is called for each response that is not as it should be. A second call replaces it. */
    public void setAnomalyListener(ResponseAnomalyListener listener) {
        unexpectedInput.setListener(listener);
        discardedResponses.setListener(listener);
    }

    /**
     * Sends a request.
     *
     * @param connectBy the time of {@link Clock#now} by which the connection must be established
     * @param answerBy the time by which the whole response must have arrived
     */
    public EndpointExchange send(
            EndpointAddress endpoint, HttpRequest request, long connectBy, long answerBy, ExchangeListener listener) {
        EndpointExchange exchange =
                new EndpointExchange(this, endpoint, request.encode(endpoint.address()), connectBy, answerBy, listener);
        exchange.start();
        return exchange;
    }

    /**
     * Removes the idle connection to an endpoint that is best for the request, and returns it; null if none may carry it.
     * Connections that prove unusable are closed.
     */
    EndpointConnection acquireIdle(EndpointAddress endpoint, ConnectionReuse reuse) {
        ArrayDeque<EndpointConnection> connections = idle.getOrDefault(endpoint, NO_CONNECTIONS);
        EndpointConnection usable = null;
        EndpointConnection candidate = reuseRules.best(connections, reuse);
        while (usable == null && candidate != null) {
            connections.remove(candidate);
            usable = closeUnlessUsable(candidate);
            candidate = reuseRules.best(connections, reuse);
        }
        removeEmptyQueue(endpoint);
        return usable;
    }

    private EndpointConnection closeUnlessUsable(EndpointConnection connection) {
        boolean quiet = connection.hasNoUnexpectedInput(UnexpectedInput.Place.IDLE);
        boolean expired = io.clock.now() - connection.stateSinceNs >= maxIdleNs;
        if (!quiet) {
            connection.closeInDoubt();
        } else if (expired) {
            connection.close();
        }
        return quiet && !expired ? connection : null;
    }

    /** Returns the successful responses that further input may still refute. */
    UnsettledResponses unsettledResponses() {
        return unsettledResponses;
    }

    /** Adds a successful response that further input may refute until {@code settledAt}. */
    UnsettledResponses.Entry addUnsettled(ExchangeListener answered, long settledAt) {
        UnsettledResponses.Entry added = unsettledResponses.add(answered, settledAt);
        scheduleSweep();
        return added;
    }

    /** Returns the rules by which idle connections are used again. */
    EndpointReuseRules reuseRules() {
        return reuseRules;
    }

    /**
     * Whether a connection is kept after a response. One for a request that can't use most connections is kept only if
     * none like it is idle, so that idle connections don't add up.
     */
    boolean keepsOpen(EndpointAddress endpoint, ConnectionReuse reuse) {
        return switch (reuse) {
            case SINGLE_USE -> false;
            case NEW, SETTLED ->
                reuseRules.mayReuse(endpoint)
                        && idle.getOrDefault(endpoint, NO_CONNECTIONS).stream()
                                .noneMatch(EndpointConnection::hasOnlySuccesses);
            case QUIET, QUIET_AFTER_SUCCESS -> reuseRules.mayReuse(endpoint);
            case TRUSTED_PEER -> true;
        };
    }

    /** Adds an idle connection, for the next exchange with that endpoint. */
    void addIdle(EndpointAddress endpoint, EndpointConnection connection) {
        connection.stateSinceNs = io.clock.now();
        idle.computeIfAbsent(endpoint, absent -> new ArrayDeque<>(INITIAL_IDLE_CAPACITY))
                .add(connection);
        scheduleSweep();
    }

    /** Removes a connection from the idle ones, if it is one of them. */
    void removeIdle(EndpointConnection connection) {
        idle.values().removeIf(connections -> connections.remove(connection) && connections.isEmpty());
    }

    /** Adds a half-closed connection, which stays open for a limited time for a late response. */
    void addHalfClosed(EndpointConnection connection) {
        if (halfClosed.size() >= MAX_HALF_CLOSED) {
            halfClosed.peekFirst().close();
        }
        connection.stateSinceNs = io.clock.now();
        halfClosed.add(connection);
        scheduleSweep();
    }

    /**
     * Counts a new connection. At the limit, another connection is closed to make this possible.
     *
     * @return false if the limit is reached and no connection can be closed
     */
    boolean reserveConnection() {
        if (openConnections >= maxConnections && !tryEvictOne()) {
            return false;
        }
        openConnections++;
        return true;
    }

    /** Called when a connection was closed. */
    void connectionClosed(EndpointConnection connection) {
        openConnections--;
        halfClosed.remove(connection);
    }

    /** Returns the log of connect failures caused by this machine. */
    LocalFailures localFailures() {
        return localFailures;
    }

    /** Returns the counter and log of bytes that answer no request. */
    UnexpectedInput unexpectedInput() {
        return unexpectedInput;
    }

    /** Returns the counter and log of responses that are not believed. */
    DiscardedResponses discardedResponses() {
        return discardedResponses;
    }

    /** Returns the number of the next connection, from 1. */
    long nextConnectionNumber() {
        return ++connectionsCreated;
    }

    /** Called when a connection could not be established. */
    void connectionFailed() {
        openConnections--;
    }

    /**
     * Closes a connection that carries no exchange: the oldest half-closed one or, if there is none, the one that has
     * been idle longest. Returns false if there is neither.
     */
    private boolean tryEvictOne() {
        if (!halfClosed.isEmpty()) {
            halfClosed.peekFirst().close();
            return true;
        }
        EndpointAddress leastRecentlyUsed = idle.entrySet().stream()
                .min(Comparator.comparingLong(entry -> entry.getValue().peekFirst().stateSinceNs))
                .map(Map.Entry::getKey)
                .orElse(null);
        if (leastRecentlyUsed == null) {
            return false;
        }
        idle.get(leastRecentlyUsed).pollFirst().close();
        removeEmptyQueue(leastRecentlyUsed);
        return true;
    }

    private void removeEmptyQueue(EndpointAddress endpoint) {
        idle.computeIfPresent(endpoint, (key, connections) -> connections.isEmpty() ? null : connections);
    }

    private void scheduleSweep() {
        boolean nothingToSweep = idle.isEmpty() && halfClosed.isEmpty() && unsettledResponses.isEmpty();
        if (!sweepScheduled && !nothingToSweep) {
            sweepScheduled = true;
            io.at(io.clock.now() + SWEEP_INTERVAL_NS, this::sweep);
        }
    }

    private void sweep() {
        sweepScheduled = false;
        scheduleSweep(); // first, so that the next sweep runs even if this one throws
        unsettledResponses.settleExpired(io.clock.now());
        closeExpiredIdle(io.clock.now() - maxIdleNs);
        closeExpiredHalfClosed(io.clock.now() - LATE_RESPONSE_TIMEOUT_NS);
    }

    private void closeExpiredIdle(long idleSinceNs) {
        List<EndpointConnection> expired = new ArrayList<>();
        for (ArrayDeque<EndpointConnection> connections : idle.values()) {
            for (EndpointConnection connection : connections) {
                if (connection.stateSinceNs <= idleSinceNs) {
                    expired.add(connection);
                }
            }
        }
        for (EndpointConnection connection : expired) {
            removeIdle(connection);
            connection.close();
        }
    }

    private void closeExpiredHalfClosed(long halfClosedSinceNs) {
        while (!halfClosed.isEmpty() && halfClosed.peekFirst().stateSinceNs <= halfClosedSinceNs) {
            halfClosed.peekFirst().close();
        }
    }
}
