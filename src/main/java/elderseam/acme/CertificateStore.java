package elderseam.acme;

import java.io.IOException;
import java.io.Reader;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.attribute.PosixFilePermissions;
import java.security.GeneralSecurityException;
import java.security.KeyPair;
import java.security.KeyStore;
import java.security.cert.Certificate;
import java.security.cert.X509Certificate;
import java.util.List;
import javax.net.ssl.KeyManagerFactory;
import javax.net.ssl.SSLContext;
import org.shredzone.acme4j.util.KeyPairUtils;

/**
 * The folder of the account's key, the certificate's key and its chain, each a PEM file that only its owner may read. Files
 * are replaced atomically. Confined to the certificates' thread.
 */
final class CertificateStore {
    private static final String ACCOUNT_KEY_FILE = "account.pem";
    private static final String KEY_FILE = "key.pem";
    private static final String CHAIN_FILE = "chain.pem";
    private static final String OWNER_ONLY = "rw-------";
    private static final String CURVE = "secp256r1";

    /** The key store exists in memory only, so its password protects nothing. */
    private static final char[] NO_PASSWORD = {};

    private final Path folder;

    CertificateStore(Path folder) {
        this.folder = folder;
    }

    /** The key of the ACME account; made at the first call. */
    KeyPair accountKey() throws IOException {
        return readOrCreateKey(ACCOUNT_KEY_FILE);
    }

    /** The certificate's key; made at the first call. */
    KeyPair certificateKey() throws IOException {
        return readOrCreateKey(KEY_FILE);
    }

    private KeyPair readOrCreateKey(String name) throws IOException {
        Path file = folder.resolve(name);
        if (!Files.exists(file)) {
            Files.createDirectories(folder);
            StringWriter text = new StringWriter();
            KeyPairUtils.writeKeyPair(KeyPairUtils.createECKeyPair(CURVE), text);
            write(name, text.toString());
        }
        try (Reader reader = Files.newBufferedReader(file)) {
            return KeyPairUtils.readKeyPair(reader);
        }
    }

    /** The stored chain, the certificate itself first; empty where there is none. */
    List<X509Certificate> chain() throws IOException, GeneralSecurityException {
        Path file = folder.resolve(CHAIN_FILE);
        return Files.exists(file) ? CertificateBundle.parseChain(Files.readAllBytes(file)) : List.of();
    }

    /** Stores the chain of a certificate for {@link #certificateKey}, as PEM text. */
    void saveChain(String pem) throws IOException {
        write(CHAIN_FILE, pem);
    }

    /** The stored key and chain; there must be both. */
    CertificateBundle bundle() throws IOException {
        String key = Files.readString(folder.resolve(KEY_FILE));
        String chain = Files.readString(folder.resolve(CHAIN_FILE));
        return new CertificateBundle(key, chain);
    }

    /** Replaces key and chain. If the process dies in between there is no chain, rather than one of another key. */
    void replace(CertificateBundle bundle) throws IOException {
        Files.createDirectories(folder);
        Files.deleteIfExists(folder.resolve(CHAIN_FILE));
        write(KEY_FILE, bundle.key());
        write(CHAIN_FILE, bundle.chain());
    }

    private void write(String name, String text) throws IOException {
        Path written = folder.resolve(name + ".new");
        Files.deleteIfExists(written);
        Files.createFile(written, PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString(OWNER_ONLY)));
        Files.writeString(written, text);
        Files.move(written, folder.resolve(name), StandardCopyOption.ATOMIC_MOVE);
    }

    /** A context that serves TLS with this chain and the stored key. */
    SSLContext sslContext(List<X509Certificate> chain) throws IOException, GeneralSecurityException {
        KeyStore store = KeyStore.getInstance("PKCS12");
        store.load(null, null);
        store.setKeyEntry("events", certificateKey().getPrivate(), NO_PASSWORD, chain.toArray(new Certificate[0]));
        KeyManagerFactory keyManagers = KeyManagerFactory.getInstance(KeyManagerFactory.getDefaultAlgorithm());
        keyManagers.init(store, NO_PASSWORD);
        SSLContext context = SSLContext.getInstance("TLS");
        context.init(keyManagers.getKeyManagers(), null, null);
        return context;
    }
}
