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
 * The client connections of one server, bounded in number and in the bytes of request bodies that are being read. A new
 * connection beyond the bound evicts one that has sent no whole request, or is idle; where there is none such, the new
 * one is refused with a 503. Confined to the I/O thread.
 */
final class ClientConnections {
    private static final long SWEEP_INTERVAL_NS = 100 * Clock.MILLISECOND_NS;

    /** How many lingering connections may be open beyond the bound. */
    private static final int MAX_LINGERING_BEYOND_BOUND = 4;

    /** The open connections, oldest first. */
    final Map<StreamConnection, ClientConnection> byChannel = new LinkedHashMap<>();

    private final IoLoop io;
    private final int maxConnections;
    private final int maxBodyBytesInTransit;
    private int unansweredRequests;
    private int bodyBytesInTransit;
    private int lingering;
    private boolean sweepScheduled;

    /**
     * Creates an empty set.
     *
     * @param maxConnections how many connections may be open, without the lingering ones
     * @param maxBodyBytesInTransit how many bytes of bodies may be in reading at once, over all connections
     */
    ClientConnections(IoLoop io, int maxConnections, int maxBodyBytesInTransit) {
        this.io = io;
        this.maxConnections = maxConnections;
        this.maxBodyBytesInTransit = maxBodyBytesInTransit;
    }

    /** A listener that adds each new connection and passes it on, if there is room for it. */
    ChannelListener<StreamConnection> guard(ChannelListener<? super StreamConnection> next) {
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
        boolean hasRoom = byChannel.size() - lingering < maxConnections || evictOne();
        closeLingeringBeyondBound();
        ClientConnection accepted = new ClientConnection(this, channel, io.clock);
        byChannel.put(channel, accepted);
        if (hasRoom) {
            ChannelListeners.invokeChannelListener(channel, next);
        } else {
            accepted.refuse(StatusCodes.SERVICE_UNAVAILABLE);
        }
    }

    private void closeLingeringBeyondBound() {
        while (byChannel.size() >= maxConnections + MAX_LINGERING_BEYOND_BOUND && lingering > 0) {
            byChannel.values().stream()
                    .filter(ClientConnection::isLingering)
                    .findFirst()
                    .ifPresent(ClientConnection::close);
        }
    }

    /** Gives up the connection that can be spared most easily; false if none can. */
    private boolean evictOne() {
        long now = io.clock.now();
        ClientConnection evicted = byChannel.values().stream()
                .min(Comparator.comparing(connection -> connection.evictionRank(now)))
                .orElseThrow();
        if (evicted.evictionRank(now) == EvictionRank.NEVER) {
            return false;
        }
        if (evicted.awaitsFirstRequest() || evicted.hasRequestBegun()) {
            evicted.refuse(StatusCodes.SERVICE_UNAVAILABLE); // its request may be on its way
        } else {
            evicted.closeGracefully();
        }
        return true;
    }

    /** The connection of that channel; null if it was closed. */
    ClientConnection get(StreamConnection channel) {
        return byChannel.get(channel);
    }

    /** Requests whose head has arrived and whose response is not written. */
    int unansweredRequests() {
        return unansweredRequests;
    }

    /** Open connections, with the lingering ones. */
    int openConnections() {
        return byChannel.size();
    }

    /**
     * Closes the inactive connections, but for new ones whose first request is still expected. A request that lies
     * unread in its socket is read first, and answered.
     */
    void closeIdle() {
        io.afterReading(() -> {
            long now = io.clock.now();
            for (ClientConnection connection : List.copyOf(byChannel.values())) {
                boolean awaited = connection.awaitsFirstRequest() && !connection.isSilent(now);
                if (connection.isInactive() && !awaited) {
                    connection.closeGracefully();
                }
            }
        });
    }

    /** Closes the inactive connections once all that arrived is read; those that have sent nothing yet get a 503. */
    void closeAllButActive() {
        io.afterReading(() -> {
            for (ClientConnection connection : List.copyOf(byChannel.values())) {
                if (!connection.isInactive()) {
                    continue;
                }
                if (connection.awaitsFirstRequest()) {
                    connection.refuse(StatusCodes.SERVICE_UNAVAILABLE);
                } else {
                    connection.closeGracefully();
                }
            }
        });
    }

    /** The head of a request has arrived on one of the connections. */
    void requestBegins() {
        unansweredRequests++;
    }

    /** The response to a request was written, or never will be. */
    void requestEnds() {
        unansweredRequests--;
    }

    /** Reserves memory for a body that is about to be read; false if there is not enough. */
    boolean reserveBody(long bytes) {
        if (bodyBytesInTransit + bytes > maxBodyBytesInTransit) {
            return false;
        }
        bodyBytesInTransit += (int) bytes;
        return true;
    }

    /** Releases what was reserved for a body. */
    void releaseBody(int bytes) {
        bodyBytesInTransit -= bytes;
    }

    /** One of the connections lingers from now on. */
    void lingeringBegins() {
        lingering++;
    }

    /** One of the connections lingers no more. */
    void lingeringEnds() {
        lingering--;
    }

    /** That channel was closed; a second call does nothing. */
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
        scheduleSweep(); // first: the next one comes whatever this one throws
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
