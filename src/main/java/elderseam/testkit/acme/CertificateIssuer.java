package elderseam.testkit.acme;

import java.io.IOException;
import java.io.StringWriter;
import java.math.BigInteger;
import java.security.GeneralSecurityException;
import java.security.KeyPair;
import java.security.SecureRandom;
import java.security.Security;
import java.security.cert.X509Certificate;
import java.time.Duration;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.Base64;
import java.util.Date;
import java.util.HashSet;
import java.util.Set;
import org.bouncycastle.asn1.x509.Extension;
import org.bouncycastle.asn1.x509.Extensions;
import org.bouncycastle.asn1.x509.GeneralName;
import org.bouncycastle.asn1.x509.GeneralNames;
import org.bouncycastle.cert.X509CertificateHolder;
import org.bouncycastle.cert.jcajce.JcaX509CertificateConverter;
import org.bouncycastle.cert.jcajce.JcaX509v3CertificateBuilder;
import org.bouncycastle.jce.provider.BouncyCastleProvider;
import org.bouncycastle.openssl.jcajce.JcaPEMWriter;
import org.bouncycastle.operator.ContentSigner;
import org.bouncycastle.operator.OperatorCreationException;
import org.bouncycastle.operator.jcajce.JcaContentSignerBuilder;
import org.bouncycastle.pkcs.PKCS10CertificationRequest;
import org.bouncycastle.pkcs.jcajce.JcaPKCS10CertificationRequest;
import org.shredzone.acme4j.util.CertificateUtils;
import org.shredzone.acme4j.util.KeyPairUtils;

/** Signs certificates with a root of its own, which nobody trusts. */
final class CertificateIssuer {
    static {
        Security.addProvider(new BouncyCastleProvider()); // acme4j's helpers ask for it by name
    }

    private static final int ROOT_KEY_BITS = 2048;
    private static final int SERIAL_NUMBER_BITS = 64;
    private static final int ROOT_VALID_DAYS = 365;

    private final Duration validBefore;
    private final Duration validAfter;
    private final SecureRandom random = new SecureRandom();
    private final KeyPair rootKey = KeyPairUtils.createKeyPair(ROOT_KEY_BITS);
    private final X509Certificate root = CertificateUtils.createTestRootCertificate(
            "CN=elderseam rehearsal root",
            Instant.now().minus(1, ChronoUnit.DAYS),
            Instant.now().plus(ROOT_VALID_DAYS, ChronoUnit.DAYS),
            rootKey);

    /** Its certificates are valid from {@code validBefore} they are signed until {@code validAfter}. */
    CertificateIssuer(Duration validBefore, Duration validAfter) {
        this.validBefore = validBefore;
        this.validAfter = validAfter;
    }

    /** The root certificate. */
    X509Certificate root() {
        return root;
    }

    /**
     * Signs a certificate.
     *
     * @param encodedRequest a PKCS #10 request in DER and base64url
     * @param dnsNames the names that the request has to be for, no more and no fewer
     * @return the certificate and the root in PEM
     */
    String issue(String encodedRequest, Set<String> dnsNames) throws AcmeProblem {
        try {
            PKCS10CertificationRequest request =
                    new PKCS10CertificationRequest(Base64.getUrlDecoder().decode(encodedRequest));
            GeneralNames requested = requestedNames(request);
            Set<String> requestedTexts = texts(requested);
            if (!requestedTexts.equals(dnsNames)) {
                throw badRequest("names " + requestedTexts + " are not those of the order");
            }
            return toPem(sign(request, requested));
        } catch (IOException | GeneralSecurityException | IllegalArgumentException e) {
            throw badRequest("no usable certificate request: " + e.getMessage());
        }
    }

    private static AcmeProblem badRequest(String detail) {
        return AcmeProblem.badRequest("badCSR", detail);
    }

    /** The alternative names that a request asks for; null where it asks for none. */
    private static GeneralNames requestedNames(PKCS10CertificationRequest request) {
        Extensions extensions = request.getRequestedExtensions();
        return extensions == null ? null : GeneralNames.fromExtensions(extensions, Extension.subjectAlternativeName);
    }

    private static Set<String> texts(GeneralNames names) {
        Set<String> texts = new HashSet<>();
        if (names != null) {
            for (GeneralName name : names.getNames()) {
                texts.add(name.getName().toString());
            }
        }
        return texts;
    }

    private X509Certificate sign(PKCS10CertificationRequest request, GeneralNames names)
            throws IOException, GeneralSecurityException {
        Instant now = Instant.now();
        JcaX509v3CertificateBuilder builder = new JcaX509v3CertificateBuilder(
                root,
                new BigInteger(SERIAL_NUMBER_BITS, random),
                Date.from(now.minus(validBefore)),
                Date.from(now.plus(validAfter)),
                request.getSubject(),
                new JcaPKCS10CertificationRequest(request).getPublicKey());
        boolean critical = request.getSubject().getRDNs().length == 0; // RFC 5280, 4.2.1.6: where there is no subject
        builder.addExtension(Extension.subjectAlternativeName, critical, names);
        try {
            ContentSigner signer = new JcaContentSignerBuilder("SHA256withRSA").build(rootKey.getPrivate());
            X509CertificateHolder certificate = builder.build(signer);
            return new JcaX509CertificateConverter().getCertificate(certificate);
        } catch (OperatorCreationException e) {
            throw new GeneralSecurityException(e);
        }
    }

    private String toPem(X509Certificate certificate) throws IOException {
        StringWriter pem = new StringWriter();
        try (JcaPEMWriter writer = new JcaPEMWriter(pem)) {
            writer.writeObject(certificate);
            writer.writeObject(root);
        }
        return pem.toString();
    }
}
