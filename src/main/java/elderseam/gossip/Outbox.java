package elderseam.gossip;

import java.util.ArrayList;
import java.util.List;

/** Queue of the messages to be sent; assigns sequence numbers to pings. */
final class Outbox {
    private final MembershipTable table;
    private List<OutgoingMessage> messages = new ArrayList<>();
    private long lastSequence;

    Outbox(MembershipTable table) {
        this.table = table;
    }

    /** Queues a message to a member; without effect if the member is unknown. */
    void send(String to, Message message) {
        if (table.find(to) != null) {
            messages.add(new OutgoingMessage(to, message, List.of()));
        }
    }

    /** Queues a message that carries only piggybacked updates and reports. */
    void sendGossip(Member to) {
        messages.add(new OutgoingMessage(to.name, new Message.Gossip(), List.of()));
    }

    /**
     * Queues a ping. The ping to a suspect always carries the suspicion, so that the suspect can refute it (Lifeguard's
     * buddy system).
     *
     * @return the ping's sequence number
     */
    long ping(Member target) {
        boolean isSuspect = target.state == MemberState.SUSPECT;
        return ping(target, isSuspect ? List.of(table.updateOf(target)) : List.of());
    }

    /** Queues a ping on which these updates are always piggybacked, and returns its sequence number. */
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
