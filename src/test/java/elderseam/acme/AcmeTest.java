package elderseam.acme;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import elderseam.core.Clock;
import elderseam.http.HttpServer;
import elderseam.http.IoLoop;
import elderseam.testkit.acme.StandInAuthority;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.KeyStore;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import javax.net.ssl.SSLContext;
import javax.net.ssl.TrustManagerFactory;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.shredzone.acme4j.AccountBuilder;
import org.shredzone.acme4j.Session;
import org.shredzone.acme4j.exception.AcmeServerException;
import org.shredzone.acme4j.util.KeyPairUtils;

/** Certificates from the stand-in authority, over the real protocol on loopback. */
public class AcmeTest {
    private static final java.util.concurrent.atomic.AtomicInteger GIVEN =
            new java.util.concurrent.atomic.AtomicInteger();
    private static final InetSocketAddress ANY = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

    @TempDir
    Path folder;

    private final BlockingQueue<SSLContext> contexts = new LinkedBlockingQueue<>();

    /** A client that trusts the stand-in's root and nothing else. */
    public static HttpClient trusting(StandInAuthority authority) throws Exception {
        KeyStore trusted = KeyStore.getInstance("PKCS12");
        trusted.load(null, null);
        trusted.setCertificateEntry("root", authority.root());
        TrustManagerFactory trust = TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm());
        trust.init(trusted);
        SSLContext client = SSLContext.getInstance("TLS");
        client.init(null, trust.getTrustManagers(), null);
        return HttpClient.newBuilder()
                .sslContext(client)
                .version(HttpClient.Version.HTTP_1_1)
                .build();
    }

    public static int freePort() throws Exception {
        for (int port = 20_000 + (int) (ProcessHandle.current().pid() % 10_000);
                ;
                port++) { // below what others are given by chance
            try (ServerSocket s =
                    new ServerSocket(port + GIVEN.getAndIncrement(), 1, InetAddress.getLoopbackAddress())) {
                return s.getLocalPort();
            } catch (java.net.BindException e) {
                assertTrue(port < 32_000, "no free port");
            }
        }
    }

    private CertificateManager certificates(StandInAuthority authority, String name) {
        return new CertificateManager(authority.directory(), List.of(name), folder, contexts::add);
    }

    /** An order is proved, its certificate serves TLS that a client trusting the root accepts, and is used again. */
    @Test
    void aCertificateIsOrderedServedAndKept() throws Exception {
        IoLoop io = new IoLoop(new Clock());
        int port = freePort();
        StandInAuthority authority = new StandInAuthority(io, ANY, port);
        CertificateManager certificates = certificates(authority, "localhost");
        new HttpServer(
                io,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
                1024,
                8,
                1 << 20,
                null,
                certificates::challenge);
        certificates.start();
        SSLContext context = contexts.poll(15, TimeUnit.SECONDS);
        HttpServer secure =
                new HttpServer(io, ANY, 1024, 8, 1 << 20, context, (r, to) -> to.answer(200, Map.of(), "safe"));

        HttpResponse<String> answer = trusting(authority)
                .send(
                        HttpRequest.newBuilder(URI.create(
                                        "https://localhost:" + secure.address().getPort()))
                                .build(),
                        HttpResponse.BodyHandlers.ofString());
        assertEquals("safe", answer.body());

        byte[] chain = Files.readAllBytes(folder.resolve("chain.pem"));
        certificates(authority, "localhost").start();
        assertTrue(contexts.poll(60, TimeUnit.SECONDS) != null);
        assertEquals(new String(chain, UTF_8), Files.readString(folder.resolve("chain.pem")), "no second order");
    }

    /** A name that is not proved gets no certificate: the challenge is answered by nobody. */
    @Test
    void anUnprovedNameGetsNone() throws Exception {
        StandInAuthority authority = new StandInAuthority(new IoLoop(new Clock()), ANY, freePort());
        var account = new AccountBuilder()
                .agreeToTermsOfService()
                .useKeyPair(KeyPairUtils.createECKeyPair("secp256r1"))
                .create(new Session(authority.directory()));
        var order = account.newOrder().domain("localhost").create();
        var a = order.getAuthorizations().get(0);
        a.findChallenge("http-01").orElseThrow().trigger();
        assertEquals(org.shredzone.acme4j.Status.INVALID, order.waitUntilReady(java.time.Duration.ofSeconds(30)));
        assertThrows(AcmeServerException.class, () -> order.execute(KeyPairUtils.createECKeyPair("secp256r1")));
        assertThrows(
                AcmeServerException.class,
                () -> account.newOrder().domain("example.org").create());
    }

    /** A request that was sent once is not good twice, nor is one that nobody signed. */
    @Test
    void unsignedRequestsAreTurnedAway() throws Exception {
        StandInAuthority authority = new StandInAuthority(new IoLoop(new Clock()), ANY, freePort());
        URI url = URI.create(authority.directory().replace("/directory", "/new-account"));
        HttpResponse<String> answer = HttpClient.newHttpClient()
                .send(
                        HttpRequest.newBuilder(url)
                                .POST(HttpRequest.BodyPublishers.ofString(
                                        "{\"protected\":\"e30\",\"payload\":\"\",\"signature\":\"\"}"))
                                .build(),
                        HttpResponse.BodyHandlers.ofString());
        assertEquals(400, answer.statusCode());
        assertTrue(answer.body().contains("urn:ietf:params:acme:error:badNonce"), answer.body());
        assertTrue(answer.headers().firstValue("Replay-Nonce").isPresent());
    }
}
