package elderseam.acme;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import elderseam.FreePorts;
import elderseam.core.Clock;
import elderseam.http.HttpServer;
import elderseam.http.IoLoop;
import elderseam.testkit.acme.StandInAuthority;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import javax.net.ssl.SSLContext;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.shredzone.acme4j.Account;
import org.shredzone.acme4j.AccountBuilder;
import org.shredzone.acme4j.Authorization;
import org.shredzone.acme4j.Order;
import org.shredzone.acme4j.Session;
import org.shredzone.acme4j.Status;
import org.shredzone.acme4j.exception.AcmeServerException;
import org.shredzone.acme4j.util.KeyPairUtils;

/** Certificates from the stand-in authority, over the real protocol on loopback. */
class AcmeTest {
    private static final InetSocketAddress ANY_PORT = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

    @TempDir
    Path folder;

    private final BlockingQueue<SSLContext> contexts = new LinkedBlockingQueue<>();

    private CertificateManager certificates(StandInAuthority authority, String name) {
        return new CertificateManager(authority.directory(), List.of(name), folder, contexts::add);
    }

    /** The names are proved, and the certificate serves a client that trusts the root; a second start uses it again. */
    @Test
    void aCertificateIsOrderedServedAndStored() throws Exception {
        IoLoop io = new IoLoop(new Clock());
        int port = FreePorts.next();
        StandInAuthority authority = new StandInAuthority(io, ANY_PORT, port);
        CertificateManager certificates = certificates(authority, "localhost");
        new HttpServer(
                io,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
                1024,
                8,
                1 << 20,
                null,
                certificates::answerChallenge);
        certificates.start();
        SSLContext context = contexts.poll(15, TimeUnit.SECONDS);
        HttpServer secure = new HttpServer(
                io, ANY_PORT, 1024, 8, 1 << 20, context, (request, answerer) -> answerer.answer(200, Map.of(), "safe"));

        HttpResponse<String> answer = AcmeTestSupport.trustingClient(authority)
                .send(
                        HttpRequest.newBuilder(URI.create(
                                        "https://localhost:" + secure.address().getPort()))
                                .build(),
                        HttpResponse.BodyHandlers.ofString());
        assertEquals("safe", answer.body());

        byte[] chain = Files.readAllBytes(folder.resolve("chain.pem"));
        certificates(authority, "localhost").start();
        assertNotNull(contexts.poll(60, TimeUnit.SECONDS));
        assertEquals(new String(chain, UTF_8), Files.readString(folder.resolve("chain.pem")), "no second order");
    }

    /** Nobody answers the challenge, so the name gets no certificate. */
    @Test
    void anUnprovedNameGetsNoCertificate() throws Exception {
        StandInAuthority authority = new StandInAuthority(new IoLoop(new Clock()), ANY_PORT, FreePorts.next());
        Account account = new AccountBuilder()
                .agreeToTermsOfService()
                .useKeyPair(KeyPairUtils.createECKeyPair("secp256r1"))
                .create(new Session(authority.directory()));
        Order order = account.newOrder().domain("localhost").create();
        Authorization authorization = order.getAuthorizations().get(0);
        authorization.findChallenge("http-01").orElseThrow().trigger();
        assertEquals(Status.INVALID, order.waitUntilReady(Duration.ofSeconds(30)));
        assertThrows(AcmeServerException.class, () -> order.execute(KeyPairUtils.createECKeyPair("secp256r1")));
        assertThrows(
                AcmeServerException.class,
                () -> account.newOrder().domain("example.org").create());
    }

    /** A request needs a signature and a nonce that was not used. */
    @Test
    void unsignedRequestsAreRejected() throws Exception {
        StandInAuthority authority = new StandInAuthority(new IoLoop(new Clock()), ANY_PORT, FreePorts.next());
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
