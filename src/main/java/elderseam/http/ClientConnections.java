package elderseam.http;

import elderseam.core.Clock;
import elderseam.http.ClientConnection.EvictionRank;
import io.undertow.util.StatusCodes;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.xnio.ChannelListener;
import org.xnio.ChannelListeners;
import org.xnio.StreamConnection;

/**
 * The client connections of one server, with limits on their number and on the total size of the request bodies that
 * are being read. A new connection over the limit evicts one that is idle or has not sent a complete request, or those
 * whose clients have ended their side while their requests are processed; if there is no such connection, the new one
 * is turned away. Confined to the I/O thread.
 */
final class ClientConnections {
    private static final long SWEEP_INTERVAL_NS = 100 * Clock.MILLISECOND_NS;

    /** The number of lingering connections that may be open in addition to {@code maxConnections}. */
    private static final int MAX_EXTRA_LINGERING = 4;

    /** The open connections, oldest first. */
    final Map<StreamConnection, ClientConnection> byChannel = new LinkedHashMap<>();

    private final IoLoop io;
    private final int maxConnections;
    private final int maxBodyBytesInTransit;
    private int unansweredRequests;
    private int bodyBytesInTransit;
    private int headBytes;
    private int lingeringCount;
    private boolean sweepScheduled;
    private int unreadStatus = StatusCodes.SERVICE_UNAVAILABLE;

    /**
     * Creates an empty set.
     *
     * @param maxConnections the maximum number of open connections, not counting lingering ones
     * @param maxBodyBytesInTransit the maximum total size of the request bodies being read on all connections, and of
     *     their incomplete request heads
     */
    ClientConnections(IoLoop io, int maxConnections, int maxBodyBytesInTransit) {
        this.io = io;
        this.maxConnections = maxConnections;
        this.maxBodyBytesInTransit = maxBodyBytesInTransit;
    }

    /** As {@link HttpServer#setUnreadStatus}. */
    void setUnreadStatus(int statusCode) {
        unreadStatus = statusCode;
    }

    /** The status with which connections and requests are turned away unread. */
    int unreadStatus() {
        return unreadStatus;
    }

    /** Returns a listener that adds each new connection and, if the limit admits it, passes it to {@code next}. */
    ChannelListener<StreamConnection> limitingListener(ChannelListener<? super StreamConnection> next) {
        return channel -> {
            accept(channel, next);
            ChannelListener<? super StreamConnection> replaced = channel.getCloseListener();
            channel.setCloseListener(closedChannel -> {
                closed(closedChannel);
                ChannelListeners.invokeChannelListener(closedChannel, replaced);
            });
            if (!channel.isOpen()) {
                closed(channel);
            }
            scheduleSweep();
        };
    }

    private void accept(StreamConnection channel, ChannelListener<? super StreamConnection> next) {
        boolean admitted = byChannel.size() - lingeringCount < maxConnections || tryEvictOne();
        closeExcessLingering();
        ClientConnection connection = new ClientConnection(this, channel, io.clock);
        byChannel.put(channel, connection);
        if (admitted) {
            ChannelListeners.invokeChannelListener(channel, next);
        } else {
            connection.refuse(unreadStatus);
        }
    }

    private void closeExcessLingering() {
        while (byChannel.size() >= maxConnections + MAX_EXTRA_LINGERING && lingeringCount > 0) {
            byChannel.values().stream()
                    .filter(ClientConnection::isLingering)
                    .findFirst()
                    .ifPresent(ClientConnection::close);
        }
    }

    /**
     * Evicts the connection that is first in the eviction order, or those that their clients have left. Returns false
     * if none may be evicted.
     */
    private boolean tryEvictOne() {
        long now = io.clock.now();
        ClientConnection evicted = byChannel.values().stream()
                .min(Comparator.comparing(connection -> connection.evictionRank(now)))
                .orElseThrow();
        if (evicted.evictionRank(now) == EvictionRank.NEVER) {
            return tryEndAbandoned();
        }
        if (evicted.awaitsFirstRequest() || evicted.hasRequestBegun()) {
            evicted.refuse(unreadStatus); // a request of its client may be in transit
        } else {
            evicted.closeGracefully();
        }
        return true;
    }

    /**
     * Ends the connections whose clients have ended their side while their requests are processed. Such a client may
     * still read, so that its request is answered; not with a 503, since the handler may have accepted it. Returns
     * false if there is none.
     */
    private boolean tryEndAbandoned() {
        if (unreadStatus == StatusCodes.SERVICE_UNAVAILABLE) {
            return false;
        }
        List<ClientConnection> abandoned = byChannel.values().stream()
                .filter(ClientConnection::isAbandoned)
                .toList();
        abandoned.forEach(ClientConnection::endAbandoned);
        return !abandoned.isEmpty();
    }

    /** Returns when this process last began to read again after a stall; see {@link IoLoop#lastStallEnd}. */
    long lastStallEnd() {
        return io.lastStallEnd();
    }

    /** Returns the connection of a channel; null if it was closed. */
    ClientConnection get(StreamConnection channel) {
        return byChannel.get(channel);
    }

    /** Returns the number of requests whose head has arrived and whose response is not completely written. */
    int unansweredRequests() {
        return unansweredRequests;
    }

    /** Returns the number of open connections, including lingering ones. */
    int openConnections() {
        return byChannel.size();
    }

    /**
     * Closes the inactive connections, except new ones whose first request is still expected. Input that is already
     * in a socket's receive buffer is read first, so that a request in it is answered.
     */
    void closeIdle() {
        io.afterReading(() -> {
            long now = io.clock.now();
            for (ClientConnection connection : List.copyOf(byChannel.values())) {
                boolean requestExpected = connection.awaitsFirstRequest() && !connection.isSilent(now);
                if (connection.isInactive() && !requestExpected) {
                    connection.closeGracefully();
                }
            }
        });
    }

    /**
     * Closes all inactive connections once the input that has arrived is read. Those on which no request has arrived
     * since they were accepted are turned away.
     */
    void closeAllButActive() {
        io.afterReading(() -> {
            for (ClientConnection connection : List.copyOf(byChannel.values())) {
                if (!connection.isInactive()) {
                    continue;
                }
                if (connection.awaitsFirstRequest()) {
                    connection.refuse(unreadStatus);
                } else {
                    connection.closeGracefully();
                }
            }
        });
    }

    /** Called when the head of a request has arrived on one of the connections. */
    void requestStarted() {
        unansweredRequests++;
    }

    /** Called when the response to a request was written, or when it can no longer be written. */
    void requestEnded() {
        unansweredRequests--;
    }

    /** Reserves memory for a body that is about to be read. Returns false if there is not enough. */
    boolean reserveBody(long bytes) {
        if (bodyBytesInTransit + bytes > maxBodyBytesInTransit) {
            return false;
        }
        bodyBytesInTransit += (int) bytes;
        return true;
    }

    /** Releases the memory that was reserved for a body. */
    void releaseBody(int bytes) {
        bodyBytesInTransit -= bytes;
    }

    /**
     * An incomplete head has grown by {@code bytes}, or has shrunk. Where such heads exceed the limit on bodies, too, the
     * connections whose heads are incomplete for longest are refused: what has stalled gives way.
     */
    void headsGrew(int bytes) {
        headBytes += bytes;
        while (bytes > 0 && headBytes > maxBodyBytesInTransit) {
            byChannel.values().stream()
                    .filter(ClientConnection::hasPartialHead)
                    .min(Comparator.comparingLong(ClientConnection::headSince))
                    .orElseThrow()
                    .refuse(unreadStatus);
        }
    }

    /** Refuses a connection's request once its input that is being read now is processed. */
    void refuseSoon(ClientConnection connection, int statusCode) {
        io.run(() -> {
            if (byChannel.containsValue(connection) && !connection.isLingering()) {
                connection.refuse(statusCode);
            }
        });
    }

    /** Called when the lingering close of a connection begins. */
    void lingeringStarted() {
        lingeringCount++;
    }

    /** Called when the lingering close of a connection has ended. */
    void lingeringEnded() {
        lingeringCount--;
    }

    /** Removes the connection of a channel that was closed. A second call does nothing. */
    void closed(StreamConnection channel) {
        ClientConnection connection = byChannel.remove(channel);
        if (connection != null) {
            connection.closed();
        }
    }

    private void scheduleSweep() {
        if (!sweepScheduled && !byChannel.isEmpty()) {
            sweepScheduled = true;
            io.at(io.clock.now() + SWEEP_INTERVAL_NS, this::sweep);
        }
    }

    private void sweep() {
        sweepScheduled = false;
        scheduleSweep(); // first, so that the next sweep runs even if this one throws
        long now = io.clock.now();
        boolean crowded = byChannel.size() > maxConnections / 2;
        List<ClientConnection> overdue = new ArrayList<>();
        for (ClientConnection connection : byChannel.values()) {
            if (connection.isOverdue(now, crowded)) {
                overdue.add(connection);
            }
        }
        overdue.forEach(ClientConnection::closeOverdue);
    }
}
