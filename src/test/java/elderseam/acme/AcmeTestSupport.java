package elderseam.acme;

import elderseam.testkit.acme.StandInAuthority;
import java.io.IOException;
import java.net.http.HttpClient;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import javax.net.ssl.SSLContext;
import javax.net.ssl.TrustManagerFactory;

/** What tests with the stand-in authority need: a client that trusts it, and ports that are known before they are used. */
public final class AcmeTestSupport {
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
}
