package elderseam.acme;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.StringReader;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.KeyPair;
import java.security.cert.CertificateFactory;
import java.security.cert.X509Certificate;
import java.time.Instant;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.shredzone.acme4j.util.KeyPairUtils;

/**
 * A certificate as the member that ordered it publishes it to the others; the property names are part of the group's log.
 *
 * @param key the private key, as PEM text
 * @param chain the certificate and those that signed it, as PEM text
 */
record CertificateBundle(
        @JsonProperty("key") String key,
        @JsonProperty("chain") String chain) {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** The type of a DNS name among a certificate's alternative names: GeneralName, RFC 5280. */
    private static final int DNS_NAME = 2;

    /** The bundle as JSON. */
    byte[] encoded() throws IOException {
        return JSON.writeValueAsBytes(this);
    }

    /**
     * The bundle of such JSON.
     *
     * @throws IllegalArgumentException if the bytes are not a bundle
     */
    static CertificateBundle decode(byte[] bytes) {
        try {
            return JSON.readValue(bytes, CertificateBundle.class);
        } catch (IOException e) {
            throw new IllegalArgumentException("no bundle: " + e.getMessage(), e);
        }
    }

    /** The certificates of PEM text, the one that is served first. */
    static List<X509Certificate> parseChain(byte[] pem) throws GeneralSecurityException {
        return CertificateFactory.getInstance("X.509").generateCertificates(new ByteArrayInputStream(pem)).stream()
                .map(X509Certificate.class::cast)
                .toList();
    }

    private List<X509Certificate> certificates() throws GeneralSecurityException {
        return parseChain(chain.getBytes(StandardCharsets.US_ASCII));
    }

    /** Why this can't be served for these names now; empty where it can. */
    Optional<String> findFault(Collection<String> names, Instant now) {
        try {
            X509Certificate served = parsed().certificate();
            Set<String> certified = dnsNames(served);
            if (!certified.containsAll(names)) {
                return Optional.of("it is for " + certified + ", not for " + names);
            }
            Instant end = served.getNotAfter().toInstant();
            return now.isBefore(end) ? Optional.empty() : Optional.of("it ended at " + end);
        } catch (GeneralSecurityException | IllegalArgumentException e) {
            return Optional.of(String.valueOf(e.getMessage()));
        }
    }

    /**
     * The key pair and the chain.
     *
     * @throws IllegalArgumentException if one can't be read, or they do not belong together
     */
    ServedCertificate parsed() {
        ServedCertificate parsed;
        try {
            parsed = new ServedCertificate(parseKey(key), certificates());
        } catch (GeneralSecurityException e) {
            throw new IllegalArgumentException("its chain can't be read: " + e.getMessage(), e);
        }
        if (parsed.chain().isEmpty()
                || !parsed.certificate().getPublicKey().equals(parsed.key().getPublic())) {
            throw new IllegalArgumentException("its chain is not its key's");
        }
        return parsed;
    }

    /**
     * The key pair of PEM text.
     *
     * @throws IllegalArgumentException if it can't be read
     */
    static KeyPair parseKey(String pem) {
        try {
            return KeyPairUtils.readKeyPair(new StringReader(pem));
        } catch (IOException | RuntimeException e) { // the library throws any for bad text
            throw new IllegalArgumentException("its key can't be read: " + e.getMessage(), e);
        }
    }

    private static Set<String> dnsNames(X509Certificate certificate) throws GeneralSecurityException {
        Set<String> names = new HashSet<>();
        Collection<List<?>> alternatives = certificate.getSubjectAlternativeNames();
        if (alternatives == null) {
            return names;
        }
        for (List<?> alternative : alternatives) { // its type and its value
            if (alternative.get(0).equals(DNS_NAME)) {
                names.add((String) alternative.get(1));
            }
        }
        return names;
    }

    /** From when on the certificate is valid. */
    Instant notBefore() throws GeneralSecurityException {
        return certificates().get(0).getNotBefore().toInstant();
    }
}
