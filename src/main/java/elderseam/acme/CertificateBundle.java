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
import java.util.Set;
import org.shredzone.acme4j.util.KeyPairUtils;

/** A certificate as one member passes it on to the others: the private key and the chain, each PEM text. */
record CertificateBundle(
        @JsonProperty("key") String key,
        @JsonProperty("chain") String chain) {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int DNS = 2; // of GeneralName, RFC 5280

    byte[] encoded() throws IOException {
        return JSON.writeValueAsBytes(this);
    }

    static CertificateBundle of(byte[] bytes) throws IOException {
        return JSON.readValue(bytes, CertificateBundle.class);
    }

    static List<X509Certificate> chain(byte[] pem) throws GeneralSecurityException {
        return CertificateFactory.getInstance("X.509").generateCertificates(new ByteArrayInputStream(pem)).stream()
                .map(X509Certificate.class::cast)
                .toList();
    }

    /** What speaks against serving this for {@code names} at {@code now}, or null. */
    String fault(Collection<String> names, Instant now) {
        try {
            List<X509Certificate> all = chain(chain.getBytes(StandardCharsets.US_ASCII));
            KeyPair pair = KeyPairUtils.readKeyPair(new StringReader(key));
            if (all.isEmpty() || !all.get(0).getPublicKey().equals(pair.getPublic())) {
                return "its chain is not its key's";
            }
            Set<String> told = new HashSet<>();
            Collection<List<?>> alternatives = all.get(0).getSubjectAlternativeNames();
            for (List<?> name : alternatives == null ? List.<List<?>>of() : alternatives) {
                if (name.get(0).equals(DNS)) {
                    told.add((String) name.get(1));
                }
            }
            if (!told.containsAll(names)) {
                return "it is for " + told + ", not for " + names;
            }
            return now.isBefore(all.get(0).getNotAfter().toInstant())
                    ? null
                    : "it ended at " + all.get(0).getNotAfter().toInstant();
        } catch (GeneralSecurityException
                | IOException
                | RuntimeException e) { // whatever the libraries make of bytes that are none
            return "it can't be read: " + e.getMessage();
        }
    }

    Instant begins() throws GeneralSecurityException {
        return chain(chain.getBytes(StandardCharsets.US_ASCII))
                .get(0)
                .getNotBefore()
                .toInstant();
    }
}
