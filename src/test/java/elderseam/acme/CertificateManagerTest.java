package elderseam.acme;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import elderseam.FreePorts;
import elderseam.core.Clock;
import elderseam.http.IoLoop;
import elderseam.testkit.acme.StandInAuthority;
import java.io.StringWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.security.KeyPair;
import java.security.Security;
import java.security.cert.X509Certificate;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import javax.net.ssl.SSLContext;
import org.bouncycastle.jce.provider.BouncyCastleProvider;
import org.bouncycastle.openssl.jcajce.JcaPEMWriter;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.shredzone.acme4j.Identifier;
import org.shredzone.acme4j.util.CertificateUtils;
import org.shredzone.acme4j.util.KeyPairUtils;

/** A member of a fleet between the certificate that another member has ordered and an order of its own. */
class CertificateManagerTest {
    static {
        Security.addProvider(new BouncyCastleProvider()); // acme4j's helpers ask for it by name
    }

    private static final InetSocketAddress ANY_PORT = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    private static final int ACME_VALIDATION_BYTES = 32;
    private static final int KEY_BITS = 2048;
    private static final long LIMIT_S = 15;
    private static final long CERTIFICATE_TIME_STEP_MS = 1_100;

    @TempDir
    Path folder;

    private final BlockingQueue<SSLContext> contexts = new LinkedBlockingQueue<>();

    /**
     * A fleet in which certificates of other members are published just while this member asks whether it orders. The
     * publication never returns: else the manager would go on in its folder while that is removed after the test.
     */
    private static final class PublishingFleet implements SharedCertificateOrder {
        private final Queue<byte[]> bundles;
        private final BlockingQueue<byte[]> published = new LinkedBlockingQueue<>();
        private CertificateManager manager;

        PublishingFleet(List<byte[]> bundles) {
            this.bundles = new ArrayDeque<>(bundles);
        }

        @Override
        public boolean isOrderedHere(Instant now, Instant dueAt, Instant ownOrderAt) {
            while (!bundles.isEmpty()) {
                manager.onPublished(Map.of(), bundles.remove());
            }
            return true;
        }

        @Override
        public void publishChallengeAnswers(Map<String, String> answers) {
            // this fleet asks nobody
        }

        @Override
        public void orderFailed() {
            // the certificate is published after it
        }

        @Override
        public boolean publishBundle(byte[] ownBundle) {
            published.add(ownBundle);
            new Semaphore(0).acquireUninterruptibly();
            return false;
        }
    }

    private static byte[] selfSignedBundle() throws Exception {
        KeyPair pair = KeyPairUtils.createKeyPair(KEY_BITS);
        X509Certificate certificate = CertificateUtils.createTlsAlpn01Certificate(
                pair, Identifier.dns("localhost"), new byte[ACME_VALIDATION_BYTES]);
        StringWriter key = new StringWriter();
        KeyPairUtils.writeKeyPair(pair, key);
        StringWriter chain = new StringWriter();
        try (JcaPEMWriter pem = new JcaPEMWriter(chain)) {
            pem.writeObject(certificate);
        }
        return new CertificateBundle(key.toString(), chain.toString()).encoded();
    }

    /** The certificate is taken over instead of an order, and goes to the log again: the announcement was put over it. */
    @Test
    void aCertificateThatComesWhileTheFleetIsAskedSavesTheOrder() throws Exception {
        byte[] bundle = selfSignedBundle();
        assertTakenOverAndPublished(bundle, List.of(bundle));
    }

    /** Another member's announcement repeats the certificate that its copy of the log has, which may be an older one. */
    @Test
    void anOlderCertificateBehindANewOneIsNotTakenOver() throws Exception {
        byte[] older = selfSignedBundle();
        Thread.sleep(CERTIFICATE_TIME_STEP_MS); // certificates tell seconds
        byte[] newer = selfSignedBundle();
        assertTakenOverAndPublished(newer, List.of(newer, older));
    }

    private void assertTakenOverAndPublished(byte[] expected, List<byte[]> bundles) throws Exception {
        StandInAuthority authority = new StandInAuthority(new IoLoop(new Clock()), ANY_PORT, FreePorts.next());
        PublishingFleet fleet = new PublishingFleet(bundles);
        fleet.manager =
                new CertificateManager(authority.directory(), List.of("localhost"), folder, contexts::add, fleet);
        fleet.manager.start();
        assertNotNull(contexts.poll(LIMIT_S, TimeUnit.SECONDS), "no certificate is served");
        assertEquals(0, authority.ordered(), "orders");
        byte[] published = fleet.published.poll(LIMIT_S, TimeUnit.SECONDS);
        assertNotNull(published, "the certificate is not published again");
        assertEquals(new String(expected, UTF_8), new String(published, UTF_8));
    }
}
