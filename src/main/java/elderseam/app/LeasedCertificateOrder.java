package elderseam.app;

import static elderseam.logging.LogField.error;
import static elderseam.logging.LogField.field;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.ObjectMapper;
import elderseam.acme.CertificateManager;
import elderseam.acme.SecretSealer;
import elderseam.acme.SharedCertificateOrder;
import elderseam.fleet.lease.CertificateOrderTask;
import elderseam.fleet.lease.LeaseOwner;
import elderseam.fleet.lease.LeaseTable;
import elderseam.fleet.lease.LeaseValidity;
import elderseam.logging.EventLogger;
import elderseam.settings.SettingKeys;
import elderseam.settings.Settings;
import java.io.IOException;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * One member orders the certificate for all, by a lease of the certificate's first name. The lease group's log carries
 * the answers to the authority's challenges, and the certificate with its key, sealed. {@link SharedCertificateOrder}
 * is called on the certificates' thread, the rest on any.
 */
final class LeasedCertificateOrder implements SharedCertificateOrder {
    private static final EventLogger LOG = EventLogger.of(LeasedCertificateOrder.class);

    /** The lease's name in the group is this and the certificate's first name. */
    private static final String LEASE_PREFIX = "certificate:";

    private static final long PUBLISH_TIMEOUT_S = 10;

    /** A group that starts has no leader yet. */
    private static final long MIN_PATIENCE_MS = 30_000;

    private static final long PATIENCE_TERMS = 4;
    private static final ObjectMapper JSON = new ObjectMapper();

    /**
     * What the holder has published; the property names are part of the group's log.
     *
     * @param sealedBundle the sealed certificate and key; empty before the first
     * @param challengeAnswers the answers to challenges, by token
     */
    record Publication(
            @JsonProperty("sealed") String sealedBundle,
            @JsonProperty("answers") Map<String, String> challengeAnswers) {}

    private final String leaseName;
    private final SecretSealer seal;
    private final CertificateOrderTask task;
    private volatile LeaseService leases; // null until the fleet is joined
    private volatile CertificateManager certificates; // null until there are any to be served
    private volatile Publication latest = new Publication("", Map.of());

    /**
     * Reads the key that seals certificates.
     *
     * @throws IOException if it can't be used
     */
    LeasedCertificateOrder(Settings settings) throws IOException {
        this.leaseName = LEASE_PREFIX + settings.get(SettingKeys.ACME_NAMES).get(0);
        this.seal =
                SecretSealer.readKeyFile(Path.of(settings.get(SettingKeys.FLEET_CERTIFICATE_KEY)), new SecureRandom());
        long patienceMs = Math.max(MIN_PATIENCE_MS, PATIENCE_TERMS * settings.get(SettingKeys.FLEET_TTL_MS));
        this.task = new CertificateOrderTask(patienceMs);
    }

    /** The lease's name in the group. */
    String leaseName() {
        return leaseName;
    }

    /** The certificates that are served here get what another member has ordered. */
    void servedBy(CertificateManager certificates) {
        this.certificates = certificates;
    }

    /** The fleet is joined. */
    void joined(LeaseService leases) {
        this.leases = leases;
    }

    private Optional<LeaseValidity> lease() {
        LeaseService joined = leases;
        return joined == null ? Optional.empty() : joined.lease(leaseName);
    }

    @Override
    public boolean isOrderedHere(Instant now, Instant dueAt, Instant ownOrderAt) {
        LeaseService joined = leases;
        boolean heldByAnother = joined != null && joined.isHeldByAnother(leaseName);
        LeaseOwner owner = LeaseOwner.of(lease().isPresent(), heldByAnother);
        boolean orders = task.isOrderedHere(now.toEpochMilli(), ownOrderAt.toEpochMilli(), owner);
        if (orders) {
            LOG.info("certificate.order_started", field("holds_lease", lease().isPresent()));
        }
        return orders;
    }

    @Override
    public void publishChallengeAnswers(Map<String, String> answers) {
        publish(new Publication(latest.sealedBundle(), Map.copyOf(answers)));
    }

    @Override
    public boolean publishBundle(byte[] bundle) {
        return publish(new Publication(seal.seal(bundle, leaseName), Map.of()));
    }

    /** Whether the group accepted it from this member as the holder. */
    private boolean publish(Publication publication) {
        Optional<LeaseValidity> lease = lease();
        if (lease.isEmpty()) {
            return false;
        }
        try {
            String value = JSON.writeValueAsString(publication);
            LeaseTable.Outcome outcome =
                    leases.publish(leaseName, lease.get(), value).get(PUBLISH_TIMEOUT_S, TimeUnit.SECONDS);
            return outcome.granted();
        } catch (ExecutionException | TimeoutException | IOException | IllegalArgumentException e) {
            LOG.warn("certificate.publish_failed", error(e));
            return false;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** The holder has published; this member's own publications come here too. */
    void onPublished(String value) {
        try {
            Publication publication = JSON.readValue(value, Publication.class);
            String sealedBundle = publication.sealedBundle();
            boolean isNew = !sealedBundle.isEmpty() && !sealedBundle.equals(latest.sealedBundle());
            latest = publication;
            CertificateManager served = certificates;
            if (served != null) {
                served.onPublished(publication.challengeAnswers(), isNew ? seal.open(sealedBundle, leaseName) : null);
            }
        } catch (IOException e) {
            LOG.warn("certificate.received_unusable", error(e));
        }
    }
}
