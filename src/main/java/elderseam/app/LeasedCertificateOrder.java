package elderseam.app;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.ObjectMapper;
import elderseam.acme.CertificateManager;
import elderseam.acme.SecretSealer;
import elderseam.acme.SharedCertificateOrder;
import elderseam.fleet.lease.CertificateOrderTask;
import elderseam.fleet.lease.LeaseOwner;
import elderseam.fleet.lease.LeaseTable;
import elderseam.fleet.lease.LeaseValidity;
import elderseam.settings.SettingKeys;
import elderseam.settings.Settings;
import java.io.IOException;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.time.Instant;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * One member orders the certificate for all, by a lease of its first name; the group's log passes on the answers to the
 * authority's looks, and the certificate with its key, sealed. Asked on the certificates' thread, and told on any.
 */
final class LeasedCertificateOrder implements SharedCertificateOrder {
    private static final String LEASE = "certificate:";
    private static final long PASS_S = 10, LEAST_PATIENCE_MS = 30_000; // a group that starts has no leader yet
    private static final ObjectMapper JSON = new ObjectMapper();

    /** What the group's log holds of it: the sealed certificate, empty before the first, and the answers to looks. */
    record Passed(
            @JsonProperty("sealed") String sealed,
            @JsonProperty("answers") Map<String, String> answers) {}

    private final String lease;
    private final SecretSealer seal;
    private final CertificateOrderTask duty;
    private volatile LeaseService fleet; // null until it is there
    private volatile CertificateManager certificates;
    private volatile Passed newest = new Passed("", Map.of());

    LeasedCertificateOrder(Settings s) throws IOException {
        this.lease = LEASE + s.get(SettingKeys.ACME_NAMES).get(0);
        this.seal = SecretSealer.read(Path.of(s.get(SettingKeys.FLEET_CERTIFICATE_KEY)), new SecureRandom());
        this.duty = new CertificateOrderTask(Math.max(LEAST_PATIENCE_MS, 4 * s.get(SettingKeys.FLEET_TTL_MS)));
    }

    String lease() {
        return lease;
    }

    void serves(CertificateManager certificates) {
        this.certificates = certificates;
    }

    void joins(LeaseService fleet) {
        this.fleet = fleet;
    }

    private LeaseValidity tenure() {
        LeaseService f = fleet;
        return f == null ? null : f.tenure(lease);
    }

    @Override
    public boolean mine(Instant now, Instant dueAt, Instant lastAt) {
        LeaseService f = fleet;
        boolean mine = duty.isOrderedHere(
                now.toEpochMilli(),
                lastAt.toEpochMilli(),
                LeaseOwner.of(tenure() != null, f != null && f.another(lease)));
        if (mine) {
            System.err.println(
                    "fleet: orders the certificate" + (tenure() == null ? " by itself: nobody else has" : ""));
        }
        return mine;
    }

    @Override
    public void challenges(Map<String, String> answers) {
        publish(new Passed(newest.sealed(), Map.copyOf(answers)));
    }

    @Override
    public boolean pass(byte[] bundle) {
        return publish(new Passed(seal.close(bundle, lease), Map.of()));
    }

    /** Whether the group took it from this member as the holder. */
    private boolean publish(Passed passed) {
        LeaseValidity t = tenure();
        if (t == null) {
            return false;
        }
        try {
            LeaseTable.Outcome o =
                    fleet.publish(lease, t, JSON.writeValueAsString(passed)).get(PASS_S, TimeUnit.SECONDS);
            return o.granted();
        } catch (ExecutionException | TimeoutException | IOException | IllegalArgumentException e) {
            System.err.println("fleet: the certificate is not passed on: " + e.getMessage());
            return false;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** What the holder has passed on, this member's own words among it. */
    void heard(String value) {
        try {
            Passed passed = JSON.readValue(value, Passed.class);
            boolean fresh = !passed.sealed().isEmpty() && !passed.sealed().equals(newest.sealed());
            newest = passed;
            CertificateManager c = certificates;
            if (c != null) {
                c.heard(passed.answers(), fresh ? seal.open(passed.sealed(), lease) : null);
            }
        } catch (IOException e) {
            System.err.println("fleet: a certificate that was passed on can't be used: " + e.getMessage());
        }
    }
}
