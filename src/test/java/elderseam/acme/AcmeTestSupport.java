package elderseam.acme;

import elderseam.testkit.acme.StandInAuthority;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.http.HttpClient;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import java.util.concurrent.atomic.AtomicInteger;
import javax.net.ssl.SSLContext;
import javax.net.ssl.TrustManagerFactory;

/** What tests with the stand-in authority need: a client that trusts it, and ports that are known before they are used. */
public final class AcmeTestSupport {
    /** Below the ports that the system gives to sockets bound to port 0. */
    private static final int FIRST_PORT = 20_000;

    private static final int END_OF_PORTS = 32_000;

    /** Processes that run tests at the same time begin at different ports. */
    private static final int PORTS_OF_PROCESSES = 10_000;

    private static final AtomicInteger PORTS_GIVEN = new AtomicInteger();

    private AcmeTestSupport() {}

    /** A client that trusts the authority's root certificate and nothing else. */
    public static HttpClient trustingClient(StandInAuthority authority) throws IOException, GeneralSecurityException {
        KeyStore trusted = KeyStore.getInstance("PKCS12");
        trusted.load(null, null);
        trusted.setCertificateEntry("root", authority.root());
        TrustManagerFactory trustManagers = TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm());
        trustManagers.init(trusted);
        SSLContext context = SSLContext.getInstance("TLS");
        context.init(null, trustManagers.getTrustManagers(), null);
        return HttpClient.newBuilder()
                .sslContext(context)
                .version(HttpClient.Version.HTTP_1_1)
                .build();
    }

    /** A loopback port that nobody listens on, and that is given once in this process. */
    public static int freePort() throws IOException {
        int first = FIRST_PORT + (int) (ProcessHandle.current().pid() % PORTS_OF_PROCESSES);
        for (int port = first; port < END_OF_PORTS; port++) {
            int candidate = port + PORTS_GIVEN.getAndIncrement();
            try (ServerSocket socket = new ServerSocket(candidate, 1, InetAddress.getLoopbackAddress())) {
                return socket.getLocalPort();
            } catch (BindException e) {
                // in use: the next one
            }
        }
        throw new AssertionError("no free port");
    }
}
