package elderseam.gossip;

import java.util.ArrayList;
import java.util.List;

/** Collects the messages that are to be sent, and numbers the pings among them. */
final class Outbox {
    private final MembershipTable table;
    private List<OutgoingMessage> messages = new ArrayList<>();
    private long lastSequence;

    Outbox(MembershipTable table) {
        this.table = table;
    }

    /** Queues a message for the member, unless it is unknown. */
    void send(String to, Message message) {
        if (table.find(to) != null) {
            messages.add(new OutgoingMessage(to, message, List.of()));
        }
    }

    /** Queues a message that carries nothing but gossip. */
    void sendGossip(Member to) {
        messages.add(new OutgoingMessage(to.name, new Message.Gossip(), List.of()));
    }

    /**
     * Queues a ping. A suspect is always told of its suspicion, so that it can refute (Lifeguard's buddy system).
     *
     * @return the ping's sequence number
     */
    long ping(Member target) {
        boolean isSuspect = target.state == MemberState.SUSPECT;
        return ping(target, isSuspect ? List.of(table.updateOf(target)) : List.of());
    }

    /** Queues a ping that carries these updates in any case, and returns its sequence number. */
    long ping(Member target, List<MembershipUpdate> requiredUpdates) {
        lastSequence++;
        Message ping = new Message.Ping(lastSequence, target.name);
        messages.add(new OutgoingMessage(target.name, ping, requiredUpdates));
        return lastSequence;
    }

    /** Returns the queued messages, oldest first, and empties the queue. */
    List<OutgoingMessage> drain() {
        List<OutgoingMessage> drained = messages;
        messages = new ArrayList<>();
        return drained;
    }
}
