package elderseam.gossip;

import java.util.Iterator;
import java.util.Map;
import java.util.TreeMap;

/**
 * Relays pings for other members (SWIM's ping-req): pings the target, and sends the requester an ack when the target
 * answers, or a nack shortly before the requester's timeout (Lifeguard, section IV-A).
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

    /** Returns when the next {@link #tick} is due; {@link Long#MAX_VALUE} if no ping is being relayed. */
    long nextTickNs() {
        long nextNs = Long.MAX_VALUE;
        for (Relay relay : byPingSequence.values()) {
            nextNs = Math.min(nextNs, relay.isNacked ? relay.endNs : relay.nackAtNs);
        }
        return nextNs;
    }

    /** Sends the nacks that are due, and removes requests whose requester no longer waits for an ack. */
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

    /** Pings the target for {@code requester}. Ignores the request if the target is unknown or too many are pending. */
    void accept(String requester, Message.PingRequest request, long nowNs) {
        Member target = table.find(request.target());
        if (target == null || byPingSequence.size() >= MAX_RELAYS) {
            return;
        }
        long nackAtNs = nowNs + timings.probeTimeoutNs() * 4 / 5;
        long endNs = nowNs + timings.probeIntervalNs() * 2;
        byPingSequence.put(outbox.ping(target), new Relay(requester, request.sequence(), nackAtNs, endNs));
    }

    /** Relays an ack to the requester of the ping; ignores an ack that belongs to no relayed ping. */
    void acceptAck(long sequence) {
        Relay relay = byPingSequence.remove(sequence);
        if (relay != null) {
            outbox.send(relay.requester, new Message.Ack(relay.requestSequence));
        }
    }
}
