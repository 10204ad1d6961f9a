package elderseam.acme;

import java.time.Instant;
import java.util.Map;

/**
 * One certificate order for a whole fleet, as {@link CertificateManager} needs it: which member orders, and how the others
 * get the result. Called on the manager's thread; the methods may block.
 */
public interface SharedCertificateOrder {
    /**
     * Whether this member orders now.
     *
     * @param dueAt since when an order is due
     * @param ownOrderAt from when on this member orders by itself, whoever else may
     */
    boolean isOrderedHere(Instant now, Instant dueAt, Instant ownOrderAt);

    /** Publishes the answers to the authority's challenges, by token: the authority may ask any member. */
    void publishChallengeAnswers(Map<String, String> answers);

    /** Publishes a certificate with its key, sealed; false where this member no longer is the one that may. */
    boolean publishBundle(byte[] bundle);
}
