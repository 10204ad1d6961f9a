package elderseam.acme;

import java.util.Map;

/** Receives what the ordering member of a fleet publishes. Called on any thread; does not block. */
@FunctionalInterface
public interface PublishedCertificates {
    /**
     * The ordering member has published.
     *
     * @param answers its answers to challenges, by token
     * @param bundle a new certificate with its key, or null
     */
    void onPublished(Map<String, String> answers, byte[] bundle);
}
