package elderseam.acme;

import java.io.IOException;
import java.security.GeneralSecurityException;
import java.security.KeyPair;
import java.security.KeyStore;
import java.security.cert.Certificate;
import java.security.cert.X509Certificate;
import java.util.List;
import javax.net.ssl.KeyManagerFactory;
import javax.net.ssl.SSLContext;

/**
 * A certificate that can be served.
 *
 * @param key of the certificate
 * @param chain the certificate and those that signed it; never empty
 */
record ServedCertificate(KeyPair key, List<X509Certificate> chain) {
    private static final String ALIAS = "events";

    /** The key store exists in memory only, so its password protects nothing. */
    private static final char[] NO_PASSWORD = {};

    /** The certificate itself. */
    X509Certificate certificate() {
        return chain.get(0);
    }

    /** A context that serves TLS with it. */
    SSLContext sslContext() throws IOException, GeneralSecurityException {
        KeyStore store = KeyStore.getInstance("PKCS12");
        store.load(null, null);
        store.setKeyEntry(ALIAS, key.getPrivate(), NO_PASSWORD, chain.toArray(new Certificate[0]));
        KeyManagerFactory keyManagers = KeyManagerFactory.getInstance(KeyManagerFactory.getDefaultAlgorithm());
        keyManagers.init(store, NO_PASSWORD);
        SSLContext context = SSLContext.getInstance("TLS");
        context.init(keyManagers.getKeyManagers(), null, null);
        return context;
    }
}
