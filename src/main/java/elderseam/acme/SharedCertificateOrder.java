package elderseam.acme;

import java.time.Instant;
import java.util.Map;

/** One order for a whole fleet, as {@link CertificateManager} needs it: whose turn it is, and how the rest hear. On its thread. */
public interface SharedCertificateOrder {
    /**
     * Whether this member orders now. {@code dueAt}: since when an order is due; {@code lastAt}: from when on nobody is waited
     * for any more.
     */
    boolean mine(Instant now, Instant dueAt, Instant lastAt);

    /** Passes on the answers to the authority's looks, by their tokens: it may look at any member. */
    void challenges(Map<String, String> answers);

    /** Passes a certificate on, sealed by whoever passes it; false where this member is no longer the one that may. */
    boolean pass(byte[] bundle);
}
