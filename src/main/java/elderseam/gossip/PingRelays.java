package elderseam.gossip;

import java.util.Iterator;
import java.util.Map;
import java.util.TreeMap;

/**
 * The pings that this member sends for others (SWIM's ping-req): passes the ack on, or sends a nack shortly before the
 * requester's timeout (Lifeguard, section IV-A).
 */
final class PingRelays {
    private static final int MAX_RELAYS = 256;

    private static final class Relay {
        final String requester;
        final long requestSequence;
        final long nackAtNs;
        final long endNs;
        boolean isNacked;

        Relay(String requester, long requestSequence, long nackAtNs, long endNs) {
            this.requester = requester;
            this.requestSequence = requestSequence;
            this.nackAtNs = nackAtNs;
            this.endNs = endNs;
        }
    }

    private final GossipTimings timings;
    private final MembershipTable table;
    private final Outbox outbox;
    private final Map<Long, Relay> byPingSequence = new TreeMap<>();

    PingRelays(GossipTimings timings, MembershipTable table, Outbox outbox) {
        this.timings = timings;
        this.table = table;
        this.outbox = outbox;
    }

    /** Returns when {@link #tick} has something to do; {@link Long#MAX_VALUE} for never. */
    long nextTickNs() {
        long nextNs = Long.MAX_VALUE;
        for (Relay relay : byPingSequence.values()) {
            nextNs = Math.min(nextNs, relay.isNacked ? relay.endNs : relay.nackAtNs);
        }
        return nextNs;
    }

    /** Sends the nacks that are due, and forgets requests that nobody waits for any more. */
    void tick(long nowNs) {
        Iterator<Relay> relays = byPingSequence.values().iterator();
        while (relays.hasNext()) {
            Relay relay = relays.next();
            if (!relay.isNacked && nowNs >= relay.nackAtNs) {
                relay.isNacked = true;
                outbox.send(relay.requester, new Message.Nack(relay.requestSequence));
            }
            if (nowNs >= relay.endNs) {
                relays.remove();
            }
        }
    }

    /** Pings the target for {@code requester}, if the target is known and not too many requests are open. */
    void accept(String requester, Message.PingRequest request, long nowNs) {
        Member target = table.find(request.target());
        if (target == null || byPingSequence.size() >= MAX_RELAYS) {
            return;
        }
        long nackAtNs = nowNs + timings.probeTimeoutNs() * 4 / 5;
        long endNs = nowNs + timings.probeIntervalNs() * 2;
        byPingSequence.put(outbox.ping(target), new Relay(requester, request.sequence(), nackAtNs, endNs));
    }

    /** Passes the ack of a relayed ping on; any other is ignored. */
    void acceptAck(long sequence) {
        Relay relay = byPingSequence.remove(sequence);
        if (relay != null) {
            outbox.send(relay.requester, new Message.Ack(relay.requestSequence));
        }
    }
}
