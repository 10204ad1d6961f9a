package elderseam.acme;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import elderseam.FreePorts;
import elderseam.core.Clock;
import elderseam.http.HttpServer;
import elderseam.http.IoLoop;
import elderseam.testkit.acme.StandInAuthority;
import java.io.IOException;
import java.io.StringWriter;
import java.io.Writer;
import java.math.BigInteger;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.KeyPair;
import java.security.Security;
import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.Date;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import javax.net.ssl.SSLContext;
import org.bouncycastle.asn1.x500.X500Name;
import org.bouncycastle.asn1.x509.Extension;
import org.bouncycastle.asn1.x509.GeneralName;
import org.bouncycastle.asn1.x509.GeneralNames;
import org.bouncycastle.cert.jcajce.JcaX509v3CertificateBuilder;
import org.bouncycastle.jce.provider.BouncyCastleProvider;
import org.bouncycastle.openssl.jcajce.JcaPEMWriter;
import org.bouncycastle.operator.jcajce.JcaContentSignerBuilder;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.shredzone.acme4j.util.KeyPairUtils;

/** What is stored and can be served is served before anything is asked of an outside system, however that behaves. */
class StoredCertificateTest {
    static {
        Security.addProvider(new BouncyCastleProvider()); // acme4j's helpers ask for it by name
    }

    private static final InetSocketAddress ANY_PORT = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    private static final String CURVE = "secp256r1";
    private static final Duration AGE = Duration.ofHours(2);
    private static final Duration LEFT = Duration.ofMinutes(30); // under a third: the renewal is due
    private static final int MAX_BYTES = 1 << 20;
    private static final int MAX_CONNECTIONS = 8;

    /** Far below the time that a request to a silent authority may take. */
    private static final long SERVED_WITHIN_S = 10;

    private static final long ORDERED_WITHIN_S = 30;

    @TempDir
    Path folder;

    private final IoLoop io = loop();
    private final BlockingQueue<SSLContext> contexts = new LinkedBlockingQueue<>();

    private static IoLoop loop() {
        try {
            return new IoLoop(new Clock());
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Stores a certificate that is valid, and due to be renewed; and the account's key, so that no test writes later. */
    private void storeDueCertificate() throws Exception {
        KeyPair pair = KeyPairUtils.createECKeyPair(CURVE);
        X500Name name = new X500Name("CN=localhost");
        JcaX509v3CertificateBuilder builder = new JcaX509v3CertificateBuilder(
                name,
                BigInteger.ONE,
                Date.from(Instant.now().minus(AGE)),
                Date.from(Instant.now().plus(LEFT)),
                name,
                pair.getPublic());
        builder.addExtension(
                Extension.subjectAlternativeName,
                false,
                new GeneralNames(new GeneralName(GeneralName.dNSName, "localhost")));
        StringWriter chain = new StringWriter();
        try (JcaPEMWriter pem = new JcaPEMWriter(chain)) {
            pem.writeObject(builder.build(new JcaContentSignerBuilder("SHA256withECDSA").build(pair.getPrivate())));
        }
        Files.writeString(folder.resolve("chain.pem"), chain.toString());
        writeKey("key.pem", pair);
        writeKey("account.pem", KeyPairUtils.createECKeyPair(CURVE));
    }

    private void writeKey(String file, KeyPair pair) throws IOException {
        try (Writer writer = Files.newBufferedWriter(folder.resolve(file))) {
            KeyPairUtils.writeKeyPair(pair, writer);
        }
    }

    private SSLContext served(long seconds) throws InterruptedException {
        return contexts.poll(seconds, TimeUnit.SECONDS);
    }

    /** An authority that gives no certificate, in several ways. */
    private String directoryOf(String behaviour) throws IOException {
        return switch (behaviour) {
            case "unreachable" -> "http://127.0.0.1:" + FreePorts.next() + "/directory";
            case "silent" -> "http://127.0.0.1:" + silentServer().getLocalPort() + "/directory";
            default -> "http://127.0.0.1:" + wrongServer().address().getPort() + "/directory";
        };
    }

    /** Connections wait in its backlog. */
    private static ServerSocket silentServer() throws IOException {
        return new ServerSocket(0, MAX_CONNECTIONS, InetAddress.getLoopbackAddress());
    }

    private HttpServer wrongServer() throws IOException {
        return new HttpServer(
                io,
                ANY_PORT,
                MAX_BYTES,
                MAX_CONNECTIONS,
                MAX_BYTES,
                null,
                (request, answerer) -> answerer.answer(200, Map.of("Content-Type", "application/json"), "[1"));
    }

    /** Guards against a start in the last third of the certificate's time that never serves while no order succeeds. */
    @ParameterizedTest
    @ValueSource(strings = {"unreachable", "silent", "wrong"})
    void aStoredCertificateIsServedWhateverTheAuthorityDoes(String behaviour) throws Exception {
        storeDueCertificate();
        new CertificateManager(directoryOf(behaviour), List.of("localhost"), folder, contexts::add).start();
        assertNotNull(served(SERVED_WITHIN_S), "the stored certificate is not served");
    }

    /** Guards against a bundle of another member, or the fleet's word on who orders, that comes before serving. */
    @Test
    void aStoredCertificateIsServedWhateverTheFleetDoes() throws Exception {
        storeDueCertificate();
        CertificateManager manager = new CertificateManager(
                directoryOf("unreachable"), List.of("localhost"), folder, contexts::add, new FailingFleet());
        manager.onPublished(Map.of(), new byte[] {1});
        manager.start();
        assertNotNull(served(SERVED_WITHIN_S), "the stored certificate is not served");
    }

    /** A fleet that can't tell who orders. */
    private static final class FailingFleet implements SharedCertificateOrder {
        @Override
        public boolean isOrderedHere(Instant now, Instant dueAt, Instant ownOrderAt) {
            throw new IllegalStateException("no leader");
        }

        @Override
        public void publishChallengeAnswers(Map<String, String> answers) {
            throw new IllegalStateException("no leader");
        }

        @Override
        public void orderFailed() {
            // nobody is told
        }

        @Override
        public boolean publishBundle(byte[] bundle) {
            return false;
        }
    }

    /** Guards against a file that was written in part: it ended every check, and nothing was ordered or served. */
    @ParameterizedTest
    @ValueSource(strings = {"chain.pem", "key.pem", "account.pem"})
    void aFileThatCanNotBeReadIsSetAsideAndOrderedAnew(String file) throws Exception {
        storeDueCertificate();
        byte[] whole = Files.readAllBytes(folder.resolve(file));
        byte[] half = Arrays.copyOf(whole, whole.length / 2);
        Files.write(folder.resolve(file), half);
        int port = FreePorts.next();
        StandInAuthority authority = new StandInAuthority(io, ANY_PORT, port);
        CertificateManager manager =
                new CertificateManager(authority.directory(), List.of("localhost"), folder, contexts::add);
        new HttpServer(
                io,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
                MAX_BYTES,
                MAX_CONNECTIONS,
                MAX_BYTES,
                null,
                manager::answerChallenge);
        manager.start();
        boolean isServable = file.equals("account.pem");
        for (int i = isServable ? 0 : 1; i < 2; i++) { // what is stored, and what is ordered
            assertNotNull(served(ORDERED_WITHIN_S), "no certificate is served");
        }
        assertEquals(1, authority.ordered());
        assertTrue(Files.size(folder.resolve(file + ".unusable")) == half.length, "it is not kept aside");
    }
}
