package elderseam.acme;

import static elderseam.logging.LogField.error;
import static elderseam.logging.LogField.field;

import elderseam.logging.EventLogger;
import java.io.IOException;
import java.io.StringWriter;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.PosixFilePermissions;
import java.security.KeyPair;
import java.util.Optional;
import org.shredzone.acme4j.util.KeyPairUtils;

/**
 * The folder of the account's key, the certificate's key and its chain, each a PEM file that only its owner may read. Files
 * are replaced atomically and synced, so that a crash or a loss of power leaves each whole. One whose content can't be used
 * all the same is set aside under another name and made anew; an error of the disk sets nothing aside. Confined to the
 * certificates' thread.
 */
final class CertificateStore {
    private static final EventLogger LOG = EventLogger.of(CertificateStore.class);

    private static final String ACCOUNT_KEY_FILE = "account.pem";
    private static final String KEY_FILE = "key.pem";
    private static final String CHAIN_FILE = "chain.pem";
    private static final String SET_ASIDE_SUFFIX = ".unusable";
    private static final String OWNER_ONLY = "rw-------";
    private static final String CURVE = "secp256r1";

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
        Optional<KeyPair> stored = readKey(name);
        if (stored.isPresent()) {
            return stored.get();
        }
        Files.createDirectories(folder);
        KeyPair created = KeyPairUtils.createECKeyPair(CURVE);
        StringWriter text = new StringWriter();
        KeyPairUtils.writeKeyPair(created, text);
        write(name, text.toString());
        return created;
    }

    private Optional<KeyPair> readKey(String name) throws IOException {
        if (!Files.exists(folder.resolve(name))) {
            return Optional.empty();
        }
        try {
            return Optional.of(CertificateBundle.parseKey(read(name)));
        } catch (IllegalArgumentException e) {
            setAside(name, e);
            return Optional.empty();
        }
    }

    /** The stored certificate; empty where there is none that can be used. */
    Optional<ServedCertificate> certificate() throws IOException {
        if (!Files.exists(folder.resolve(CHAIN_FILE))) {
            return Optional.empty();
        }
        boolean hasKey = readKey(KEY_FILE).isPresent();
        try {
            return Optional.of(new CertificateBundle(hasKey ? read(KEY_FILE) : "", read(CHAIN_FILE)).parsed());
        } catch (IllegalArgumentException e) {
            setAside(CHAIN_FILE, e);
            return Optional.empty();
        }
    }

    private void setAside(String name, IllegalArgumentException fault) throws IOException {
        LOG.warn("certificate.stored_unusable", field("file", name), error(fault));
        Files.move(
                folder.resolve(name),
                folder.resolve(name + SET_ASIDE_SUFFIX),
                StandardCopyOption.ATOMIC_MOVE,
                StandardCopyOption.REPLACE_EXISTING);
    }

    /** Stores the chain of a certificate for {@link #certificateKey}, as PEM text. */
    void saveChain(String pem) throws IOException {
        write(CHAIN_FILE, pem);
    }

    /** The stored key and chain; there must be both. */
    CertificateBundle bundle() throws IOException {
        return new CertificateBundle(read(KEY_FILE), read(CHAIN_FILE));
    }

    /** The stored key with another chain, which is not stored. */
    CertificateBundle bundleWith(String chain) throws IOException {
        return new CertificateBundle(read(KEY_FILE), chain);
    }

    /** Replaces key and chain. If the process dies in between there is no chain, rather than one of another key. */
    void replace(CertificateBundle bundle) throws IOException {
        Files.createDirectories(folder);
        Path key = prepare(KEY_FILE, bundle.key());
        Path chain = prepare(CHAIN_FILE, bundle.chain());
        Files.deleteIfExists(folder.resolve(CHAIN_FILE));
        install(key, KEY_FILE);
        install(chain, CHAIN_FILE);
    }

    private String read(String name) throws IOException {
        return new String(Files.readAllBytes(folder.resolve(name)), StandardCharsets.ISO_8859_1); // whatever the bytes
    }

    private void write(String name, String text) throws IOException {
        install(prepare(name, text), name);
    }

    /** Writes and syncs the file that will have that name. */
    private Path prepare(String name, String text) throws IOException {
        Path written = folder.resolve(name + ".new");
        Files.deleteIfExists(written);
        Files.createFile(written, PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString(OWNER_ONLY)));
        try (FileChannel file = FileChannel.open(written, StandardOpenOption.WRITE)) {
            ByteBuffer bytes = ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII));
            while (bytes.hasRemaining()) {
                file.write(bytes);
            }
            file.force(true);
        }
        return written;
    }

    private void install(Path written, String name) throws IOException {
        Files.move(written, folder.resolve(name), StandardCopyOption.ATOMIC_MOVE);
        try (FileChannel directory = FileChannel.open(folder, StandardOpenOption.READ)) {
            directory.force(true);
        }
    }
}
