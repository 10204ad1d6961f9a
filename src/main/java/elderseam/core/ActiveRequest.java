package elderseam.core;

/** A message on its way: what its front decoded, once, and how far it has come. One thread owns it. */
public final class ActiveRequest {
    /** What a front made of a message. {@code deadline} is absolute; {@code front} names who is owed the answer;
     *  {@code heedsWindow}: a refused one comes again only while a repeat would still be dropped;
     *  {@code key} (may be empty) and {@code body} are the front's own and pass through unread. Its end is
     *  remembered until {@code rememberUntil}. Two with the same {@code same} (empty: none) are one message, by an
     *  operator's rule; it begins with the name of that rule's scheme and a colon. */
    public record Message(
            String id,
            byte front,
            int cls,
            int tenant,
            long destination,
            long deadline,
            long rememberUntil,
            boolean again,
            boolean heedsWindow,
            String key,
            byte[] body,
            String same) {
        public Message(
                String id,
                byte front,
                int cls,
                int tenant,
                long destination,
                long deadline,
                long rememberUntil,
                boolean again,
                boolean heedsWindow,
                String key,
                byte[] body) {
            this(id, front, cls, tenant, destination, deadline, rememberUntil, again, heedsWindow, key, body, "");
        }
    }

    public final Message message;
    int attempts;
    boolean mayHaveRun;
    long keyUntil;
    EndpointCall out; // the attempt under way, or none
    AttemptTracker.Leg leg; // the last attempt
    FinalOutcome answer;
    boolean owned; // its client was told that it is taken on

    ActiveRequest(Message message) {
        this.message = message;
    }

    public String id() {
        return message.id();
    }
}
