package elderseam.acme;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;

/**
 * One certificate order for a whole fleet, as {@link CertificateManager} needs it: which member orders, and how the others
 * get the result. Called on the manager's thread; the methods may block.
 */
public interface SharedCertificateOrder {
    /** An order ends within this time, either way. */
    Duration ORDER_TIMEOUT = Duration.ofSeconds(60);

    /**
     * Whether this member orders now. Where it does as the one that may, the others have been told, and wait for the end of
     * its order: {@link #publishBundle} or {@link #orderFailed}.
     *
     * @param dueAt since when an order is due
     * @param ownOrderAt from when on this member orders by itself, whoever else may
     */
    boolean isOrderedHere(Instant now, Instant dueAt, Instant ownOrderAt);

    /** Publishes the answers to the authority's challenges, by token: the authority may ask any member. */
    void publishChallengeAnswers(Map<String, String> answers);

    /** Tells the others that this member's order has failed or was not placed, and that another may be. */
    void orderFailed();

    /** Publishes a certificate with its key, sealed; false where this member no longer is the one that may. */
    boolean publishBundle(byte[] bundle);
}
