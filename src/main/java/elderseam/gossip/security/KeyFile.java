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
 * This member's key pair, stored in a PEM file (RFC 7468): the private key as PKCS #8, then the public key. Only the
 * owner of the file may have access to it.
 */
public final class KeyFile {
    private static final String PRIVATE_KEY = "PRIVATE KEY";
    private static final String PUBLIC_KEY = "PUBLIC KEY";
    private static final int PEM_LINE_LENGTH = 64;
    private static final int MAX_FILE_BYTES = 8 << 10;
    private static final Set<PosixFilePermission> OWNER_PERMISSIONS = EnumSet.of(
            PosixFilePermission.OWNER_READ, PosixFilePermission.OWNER_WRITE, PosixFilePermission.OWNER_EXECUTE);
    private static final Set<PosixFilePermission> NEW_FILE_PERMISSIONS =
            EnumSet.of(PosixFilePermission.OWNER_READ, PosixFilePermission.OWNER_WRITE);

    private final PrivateKey privateKey;
    private final PublicKey publicKey;

    private KeyFile(PrivateKey privateKey, PublicKey publicKey) {
        this.privateKey = privateKey;
        this.publicKey = publicKey;
    }

    /** Returns the public key in the text form that a roster uses. */
    public String publicKeyText() {
        return Ed25519.formatPublicKey(publicKey);
    }

    /** Returns the id by which other members find the public key among this member's keys. */
    public int keyId() {
        return Ed25519.keyId(publicKey);
    }

    /** Signs the bytes with the private key. */
    byte[] sign(byte[] bytes) {
        return Ed25519.sign(privateKey, bytes);
    }

    // ---------------------------------------------------------------- writing

    /**
     * Generates a key pair and writes it to a new file.
     *
     * @throws java.nio.file.FileAlreadyExistsException if the file already exists
     * @throws IOException if the file can't be written
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
            throw new IOException("this JDK does not support Ed25519", e);
        }
    }

    private static String pemBlock(String label, byte[] der) {
        String base64 =
                Base64.getMimeEncoder(PEM_LINE_LENGTH, new byte[] {'\n'}).encodeToString(der);
        return beginLine(label) + "\n" + base64 + "\n" + endLine(label) + "\n";
    }

    private static String beginLine(String label) {
        return "-----BEGIN " + label + "-----";
    }

    private static String endLine(String label) {
        return "-----END " + label + "-----";
    }

    private static void write(Path file, String text) throws IOException {
        Set<StandardOpenOption> newFile = EnumSet.of(StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
        try (SeekableByteChannel channel =
                Files.newByteChannel(file, newFile, PosixFilePermissions.asFileAttribute(NEW_FILE_PERMISSIONS))) {
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
     * @throws SettingsFault if the file is missing, is not a key file, or is accessible to users other than its owner
     * @throws IOException if the file can't be read
     */
    public static KeyFile read(Path file) throws IOException {
        try {
            checkAccess(file);
            KeyFile key = parse(file, Files.readAllLines(file, StandardCharsets.ISO_8859_1));
            if (!key.keysMatch()) {
                throw fault(file, "public key does not match the private key, allowed: a file written by `keys new`");
            }
            return key;
        } catch (NoSuchFileException e) {
            throw fault(file, "no such file");
        } catch (GeneralSecurityException | IllegalArgumentException e) {
            throw fault(file, "not a valid Ed25519 key pair, allowed: a file written by `keys new`");
        }
    }

    private static void checkAccess(Path file) throws IOException {
        Set<PosixFilePermission> permissions = Files.getPosixFilePermissions(file);
        if (!OWNER_PERMISSIONS.containsAll(permissions)) {
            throw fault(
                    file,
                    "accessible to users other than its owner (" + PosixFilePermissions.toString(permissions)
                            + "), allowed: rw------- or stricter");
        }
        if (Files.size(file) > MAX_FILE_BYTES) {
            throw fault(file, "more than " + MAX_FILE_BYTES + " bytes, too large for a key file");
        }
    }

    private static KeyFile parse(Path file, List<String> lines) throws IOException, GeneralSecurityException {
        Optional<byte[]> privateDer = pemContent(lines, PRIVATE_KEY);
        Optional<byte[]> publicDer = pemContent(lines, PUBLIC_KEY);
        if (privateDer.isEmpty() || publicDer.isEmpty()) {
            throw fault(file, "no key pair found, allowed: a file written by `keys new`");
        }
        KeyFactory factory = KeyFactory.getInstance(Ed25519.ALGORITHM);
        return new KeyFile(
                factory.generatePrivate(new PKCS8EncodedKeySpec(privateDer.get())),
                factory.generatePublic(new X509EncodedKeySpec(publicDer.get())));
    }

    private static Optional<byte[]> pemContent(List<String> lines, String label) {
        int begin = lines.indexOf(beginLine(label));
        int end = lines.indexOf(endLine(label));
        if (begin < 0 || end < begin) {
            return Optional.empty();
        }
        String base64 = String.join("", lines.subList(begin + 1, end));
        return Optional.of(Base64.getDecoder().decode(base64));
    }

    /** Whether the public key verifies a signature made with the private key. */
    private boolean keysMatch() {
        byte[] sample = "key pair check".getBytes(StandardCharsets.US_ASCII);
        return Ed25519.verify(publicKey, sample, sample.length, sign(sample));
    }

    private static SettingsFault fault(Path file, String description) {
        return new SettingsFault(List.of(file + ": " + description));
    }
}
