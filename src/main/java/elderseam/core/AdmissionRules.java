package elderseam.core;

import java.util.List;

/** What an operator's rules make of a message before it is taken on; there is none while there are no rules. */
public interface AdmissionRules {
    /**
     * The message as it is to be taken on. {@code also}: further keys by which an earlier copy may be known; {@code refused}: not to be
     * taken on, with this answer, or null; {@code fault}: neither the message nor a rule says what it is, or where it goes; else empty.
     */
    record Ruled(ActiveRequest.Message message, List<String> also, FinalOutcome refused, String fault) {
        /** Taken on, or the answer at once; as {@link RequestDispatcher#take}. Not with a fault. */
        public FinalOutcome take(RequestDispatcher relay) {
            return refused != null ? refused : relay.take(message, also);
        }
    }

    /** A class, or a destination, below 0 is one that the message does not tell. */
    Ruled rule(ActiveRequest.Message message, RequestAttributes facts);
}
