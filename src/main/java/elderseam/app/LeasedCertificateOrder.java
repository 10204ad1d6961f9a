package elderseam.app;

import static elderseam.logging.LogField.error;
import static elderseam.logging.LogField.field;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.ObjectMapper;
import elderseam.acme.PublishedCertificates;
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
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
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

    /** With the time for publishing it leaves most of an order's time to the authority. */
    private static final long REPLICATION_TIMEOUT_MS = 10_000;

    /**
     * The entry among the published answers that names the member whose order is open. No token of an authority is so short
     * (RFC 8555, section 8.3), and a release that does not know it takes it for an answer that nobody asks for.
     */
    private static final String ORDERING_MEMBER = "ordering-member";

    private static final long LEASE_CHECK_INTERVAL_MS = 200;

    /** A group that starts has no leader yet. */
    private static final long MIN_PATIENCE_MS = 30_000;

    private static final long PATIENCE_TERMS = 4;
    private static final ObjectMapper JSON = new ObjectMapper();

    /**
     * What the holder has published; the property names are part of the group's log.
     *
     * @param sealedBundle the sealed certificate and key; empty before the first
     * @param challengeAnswers the answers to challenges, by token; {@link #ORDERING_MEMBER} among them while an order is open
     */
    record Publication(
            @JsonProperty("sealed") String sealedBundle,
            @JsonProperty("answers") Map<String, String> challengeAnswers) {}

    private final String member;
    private final String leaseName;
    private final SecretSealer seal;
    private final CertificateOrderTask task;
    private volatile LeaseService leases; // null until the fleet is joined
    private volatile PublishedCertificates certificates; // null until there are any to be served
    private final Object publicationLock = new Object(); // notified of each publication
    private volatile Publication latest = new Publication("", Map.of());

    /** Whether this member has announced an order that has not ended. */
    private volatile boolean orderOpenHere;

    /**
     * Reads the key that seals certificates.
     *
     * @throws IOException if it can't be used
     */
    LeasedCertificateOrder(Settings settings) throws IOException {
        this.member = settings.get(SettingKeys.FLEET_NAME);
        this.leaseName = LEASE_PREFIX + settings.get(SettingKeys.ACME_NAMES).get(0);
        this.seal =
                SecretSealer.readKeyFile(Path.of(settings.get(SettingKeys.FLEET_CERTIFICATE_KEY)), new SecureRandom());
        long patienceMs = Math.max(MIN_PATIENCE_MS, PATIENCE_TERMS * settings.get(SettingKeys.FLEET_TTL_MS));
        long otherOrderMs = ORDER_TIMEOUT.toMillis() + TimeUnit.SECONDS.toMillis(PUBLISH_TIMEOUT_S);
        this.task = new CertificateOrderTask(patienceMs, otherOrderMs);
    }

    /** The lease's name in the group. */
    String leaseName() {
        return leaseName;
    }

    /** The certificates that are served here get what another member has ordered. */
    void servedBy(PublishedCertificates certificates) {
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
        long nowMs = now.toEpochMilli();
        seekLease(orderOpenHere || !task.awaitsOtherOrder(nowMs));
        LeaseService joined = leases;
        boolean heldByAnother = joined != null && joined.isHeldByAnother(leaseName);
        LeaseOwner owner = LeaseOwner.of(lease().isPresent(), heldByAnother);
        if (!task.isOrderedHere(nowMs, ownOrderAt.toEpochMilli(), owner)) {
            return false;
        }
        orderOpenHere = announce();
        if (now.isBefore(ownOrderAt) && owner == LeaseOwner.THIS_MEMBER && !orderOpenHere) {
            return false;
        }
        LOG.info(
                "certificate.order_started",
                field("holds_lease", lease().isPresent()),
                field("reason", orderReason(now.isBefore(ownOrderAt), owner)));
        return true;
    }

    private static String orderReason(boolean isBeforeOwnTime, LeaseOwner owner) {
        if (!isBeforeOwnTime) {
            return "deadline";
        }
        return owner == LeaseOwner.THIS_MEMBER ? "lease" : "no_holder";
    }

    /**
     * Announces an order of this member. Returns false if the group did not accept that, as the lease has moved on, or if the
     * log has an open order of another member before it, which this member had not learned of; that one then stands again.
     */
    private boolean announce() {
        Optional<LeaseValidity> lease = lease();
        if (lease.isEmpty() || !publishOpenOrder(member, Map.of()) || !awaitOwnPublication(Set.of())) {
            return false;
        }
        Optional<String> other = task.otherOrderBy();
        other.ifPresent(name -> publishOpenOrder(name, Map.of()));
        return other.isEmpty();
    }

    /**
     * Waits until this member's copy of the group's log has its own announcement with these answers, and with it all that came
     * before.
     */
    private boolean awaitOwnPublication(Set<String> tokens) {
        long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(PUBLISH_TIMEOUT_S);
        synchronized (publicationLock) {
            while (!isOwnPublication(latest.challengeAnswers(), tokens)) {
                long leftMs = TimeUnit.NANOSECONDS.toMillis(deadlineNs - System.nanoTime());
                if (leftMs <= 0) {
                    return false;
                }
                try {
                    publicationLock.wait(leftMs);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                    return false;
                }
            }
        }
        return true;
    }

    private boolean isOwnPublication(Map<String, String> published, Set<String> tokens) {
        return member.equals(published.get(ORDERING_MEMBER))
                && published.keySet().containsAll(tokens);
    }

    /**
     * Acquires and keeps the lease, or leaves it to others. While the order of another member is open, the lease is left to that
     * member alone: if it has lost the lease, it needs it again to publish the certificate.
     */
    private void seekLease(boolean isWanted) {
        LeaseService joined = leases;
        if (joined != null) {
            joined.want(leaseName, isWanted);
        }
    }

    @Override
    public void publishChallengeAnswers(Map<String, String> answers) {
        long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(PUBLISH_TIMEOUT_S);
        boolean published = publishOpenOrder(member, answers);
        while (!published && orderOpenHere && System.nanoTime() < deadlineNs) {
            try {
                Thread.sleep(LEASE_CHECK_INTERVAL_MS); // the lease that was lost comes back: nobody else seeks it
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
            published = publishOpenOrder(member, answers);
        }
        if (published && awaitOwnPublication(answers.keySet())) {
            awaitReplication();
        }
    }

    /** Waits until all members have what this one has; a member that is down is not waited for longer than the limit. */
    private void awaitReplication() {
        try {
            List<String> behind = leases.awaitReplication(REPLICATION_TIMEOUT_MS);
            if (!behind.isEmpty()) {
                LOG.warn("certificate.answers_not_replicated", field("members", String.join(" ", behind)));
            }
        } catch (IOException e) {
            LOG.warn("certificate.publish_failed", error(e));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Publishes that the order of that member is open, and its answers; whether the group accepted that from this one. */
    private boolean publishOpenOrder(String orderingMember, Map<String, String> answers) {
        Map<String, String> withMember = new HashMap<>(answers);
        withMember.put(ORDERING_MEMBER, orderingMember);
        return publish(new Publication(latest.sealedBundle(), withMember));
    }

    @Override
    public void orderFailed() {
        orderOpenHere = false;
        publish(new Publication(latest.sealedBundle(), Map.of()));
    }

    @Override
    public boolean publishBundle(byte[] bundle) {
        if (lease().isEmpty()) {
            return false; // called each second until this member holds the lease: nothing is sealed in vain
        }
        boolean published = publish(new Publication(seal.seal(bundle, leaseName), Map.of()));
        orderOpenHere &= !published;
        return published;
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

    /** The group's log tells whose order is open; an own announcement does not end the order of another. */
    private void onOrderingMember(Optional<String> orderingMember) {
        if (orderingMember.isEmpty()) {
            task.orderEnded();
        } else if (!orderingMember.get().equals(member)) {
            task.otherOrderBegan(orderingMember.get());
        }
        seekLease(orderOpenHere || task.otherOrderBy().isEmpty());
    }

    /**
     * The holder has published; this member's own publications come here too. An order ends here only once its certificate is
     * handed over: this member would place an order of its own in between.
     */
    void onPublished(String value) {
        try {
            Publication publication = JSON.readValue(value, Publication.class);
            Map<String, String> answers = new HashMap<>(publication.challengeAnswers());
            Optional<String> orderingMember = Optional.ofNullable(answers.remove(ORDERING_MEMBER));
            try {
                handOver(publication.sealedBundle(), answers);
            } finally {
                onOrderingMember(orderingMember);
                synchronized (publicationLock) {
                    latest = publication;
                    publicationLock.notifyAll();
                }
            }
        } catch (IOException e) {
            LOG.warn("certificate.received_unusable", error(e));
        }
    }

    /** Hands answers, and a certificate that is new, to those that serve them. */
    private void handOver(String sealedBundle, Map<String, String> answers) throws IOException {
        PublishedCertificates served = certificates;
        if (served != null) {
            boolean isNew = !sealedBundle.isEmpty() && !sealedBundle.equals(latest.sealedBundle());
            served.onPublished(answers, isNew ? seal.open(sealedBundle, leaseName) : null);
        }
    }
}
