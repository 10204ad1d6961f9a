package elderseam.gossip.security;

import elderseam.settings.SettingsFault;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SeekableByteChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.PosixFilePermission;
import java.nio.file.attribute.PosixFilePermissions;
import java.security.GeneralSecurityException;
import java.security.KeyFactory;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.PrivateKey;
import java.security.PublicKey;
import java.security.spec.PKCS8EncodedKeySpec;
import java.security.spec.X509EncodedKeySpec;
import java.util.Base64;
import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * A member's own key pair, in a PEM file (RFC 7468): the private key as PKCS #8, then the public key. Only its owner may have
 * access to the file.
 */
public final class KeyFile {
    private static final String PRIVATE_KEY = "PRIVATE KEY";
    private static final String PUBLIC_KEY = "PUBLIC KEY";
    private static final int PEM_LINE_LENGTH = 64;
    private static final int MAX_FILE_BYTES = 8 << 10;
    private static final Set<PosixFilePermission> OWNER_ONLY = EnumSet.of(
            PosixFilePermission.OWNER_READ, PosixFilePermission.OWNER_WRITE, PosixFilePermission.OWNER_EXECUTE);
    private static final Set<PosixFilePermission> NEW_FILE =
            EnumSet.of(PosixFilePermission.OWNER_READ, PosixFilePermission.OWNER_WRITE);

    private final PrivateKey privateKey;
    private final PublicKey publicKey;

    private KeyFile(PrivateKey privateKey, PublicKey publicKey) {
        this.privateKey = privateKey;
        this.publicKey = publicKey;
    }

    /** Returns the public key as a roster has it. */
    public String publicKeyText() {
        return Ed25519.text(publicKey);
    }

    /** Returns the id by which others find the public key among this member's keys. */
    public int keyId() {
        return Ed25519.keyId(publicKey);
    }

    /** Returns the private key's signature over the bytes. */
    byte[] sign(byte[] bytes) {
        return Ed25519.sign(privateKey, bytes);
    }

    // ---------------------------------------------------------------- writing

    /**
     * Generates a key pair and writes it to a new file.
     *
     * @throws java.nio.file.FileAlreadyExistsException if there is a file already
     * @throws IOException if it can't be written
     */
    public static KeyFile create(Path file) throws IOException {
        KeyPair pair = generate();
        write(
                file,
                pemBlock(PRIVATE_KEY, pair.getPrivate().getEncoded())
                        + pemBlock(PUBLIC_KEY, pair.getPublic().getEncoded()));
        return new KeyFile(pair.getPrivate(), pair.getPublic());
    }

    private static KeyPair generate() throws IOException {
        try {
            return KeyPairGenerator.getInstance(Ed25519.ALGORITHM).generateKeyPair();
        } catch (GeneralSecurityException e) {
            throw new IOException("this JDK has no Ed25519", e);
        }
    }

    private static String pemBlock(String label, byte[] der) {
        String base64 =
                Base64.getMimeEncoder(PEM_LINE_LENGTH, new byte[] {'\n'}).encodeToString(der);
        return begin(label) + "\n" + base64 + "\n" + end(label) + "\n";
    }

    private static String begin(String label) {
        return "-----BEGIN " + label + "-----";
    }

    private static String end(String label) {
        return "-----END " + label + "-----";
    }

    private static void write(Path file, String text) throws IOException {
        Set<StandardOpenOption> newFile = EnumSet.of(StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
        try (SeekableByteChannel channel =
                Files.newByteChannel(file, newFile, PosixFilePermissions.asFileAttribute(NEW_FILE))) {
            ByteBuffer bytes = ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII));
            while (bytes.hasRemaining()) {
                channel.write(bytes);
            }
        }
    }

    // ---------------------------------------------------------------- reading

    /**
     * Reads a key file.
     *
     * @throws SettingsFault if it is missing, no key file, or accessible to others than its owner
     * @throws IOException if it can't be read
     */
    public static KeyFile read(Path file) throws IOException {
        try {
            checkAccess(file);
            KeyFile key = parse(file, Files.readAllLines(file, StandardCharsets.ISO_8859_1));
            if (!key.isPair()) {
                throw fault(file, "its public key is another's, allowed: what `keys new` writes");
            }
            return key;
        } catch (NoSuchFileException e) {
            throw fault(file, "there is no such file");
        } catch (GeneralSecurityException | IllegalArgumentException e) {
            throw fault(file, "no Ed25519 key, allowed: what `keys new` writes");
        }
    }

    private static void checkAccess(Path file) throws IOException {
        Set<PosixFilePermission> permissions = Files.getPosixFilePermissions(file);
        if (!OWNER_ONLY.containsAll(permissions)) {
            throw fault(
                    file,
                    "others than its owner may use it (" + PosixFilePermissions.toString(permissions)
                            + "), allowed: rw------- or less");
        }
        if (Files.size(file) > MAX_FILE_BYTES) {
            throw fault(file, "more than " + MAX_FILE_BYTES + " bytes, a key is smaller");
        }
    }

    private static KeyFile parse(Path file, List<String> lines) throws IOException, GeneralSecurityException {
        Optional<byte[]> privateDer = pemContent(lines, PRIVATE_KEY);
        Optional<byte[]> publicDer = pemContent(lines, PUBLIC_KEY);
        if (privateDer.isEmpty() || publicDer.isEmpty()) {
            throw fault(file, "no key, allowed: what `keys new` writes");
        }
        KeyFactory factory = KeyFactory.getInstance(Ed25519.ALGORITHM);
        return new KeyFile(
                factory.generatePrivate(new PKCS8EncodedKeySpec(privateDer.get())),
                factory.generatePublic(new X509EncodedKeySpec(publicDer.get())));
    }

    private static Optional<byte[]> pemContent(List<String> lines, String label) {
        int begin = lines.indexOf(begin(label));
        int end = lines.indexOf(end(label));
        if (begin < 0 || end < begin) {
            return Optional.empty();
        }
        String base64 = String.join("", lines.subList(begin + 1, end));
        return Optional.of(Base64.getDecoder().decode(base64));
    }

    /** Whether the public key verifies what the private key signs. */
    private boolean isPair() {
        byte[] sample = "the two belong together".getBytes(StandardCharsets.US_ASCII);
        return Ed25519.verify(publicKey, sample, sample.length, sign(sample));
    }

    private static SettingsFault fault(Path file, String description) {
        return new SettingsFault(List.of(file + ": " + description));
    }
}
