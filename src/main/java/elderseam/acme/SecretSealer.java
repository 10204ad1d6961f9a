package elderseam.acme;

import elderseam.settings.SettingsFault;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.security.GeneralSecurityException;
import java.security.SecureRandom;
import java.util.Base64;
import java.util.List;
import javax.crypto.AEADBadTagException;
import javax.crypto.Cipher;
import javax.crypto.spec.GCMParameterSpec;
import javax.crypto.spec.SecretKeySpec;

/**
 * Encrypts secrets that the members of a fleet exchange through the group's log, which anybody with access to a member's
 * disk or links can read. AES-256 in Galois/Counter Mode (NIST SP 800-38D) with a random nonce of 96 bits, which is stored
 * before the ciphertext. The operator puts the key on every member, as a file that only its owner may read: 32 bytes in
 * base64, as {@code keys seal} writes it. Any thread.
 */
public final class SecretSealer {
    private static final String KEY_ALGORITHM = "AES";
    private static final String CIPHER = "AES/GCM/NoPadding";
    private static final int KEY_BYTES = 32;
    private static final int NONCE_BYTES = 12;
    private static final int TAG_BITS = 128;
    private static final String OWNER_ONLY = "rw-------";

    /** What the permissions of a key file must end with: none for its group and for others. */
    private static final String NO_GROUP_AND_OTHERS = "------";

    private final SecretKeySpec key;
    private final SecureRandom random;

    private SecretSealer(byte[] key, SecureRandom random) {
        this.key = new SecretKeySpec(key, KEY_ALGORITHM);
        this.random = random;
    }

    /**
     * Makes a key and writes it to a new file.
     *
     * @throws java.nio.file.FileAlreadyExistsException if the file exists
     * @throws IOException if it can't be written
     */
    public static void createKeyFile(Path file, SecureRandom random) throws IOException {
        byte[] key = new byte[KEY_BYTES];
        random.nextBytes(key);
        Files.createFile(file, PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString(OWNER_ONLY)));
        Files.writeString(file, Base64.getEncoder().encodeToString(key) + "\n");
    }

    /**
     * Reads a key file.
     *
     * @param random where nonces come from
     * @throws SettingsFault if the file is missing, is no key, or may be read by others than its owner
     * @throws IOException if it can't be read
     */
    public static SecretSealer readKeyFile(Path file, SecureRandom random) throws IOException {
        try {
            String permissions = PosixFilePermissions.toString(Files.getPosixFilePermissions(file));
            if (!permissions.endsWith(NO_GROUP_AND_OTHERS)) {
                throw fault(
                        file,
                        "others than its owner may use it (" + permissions + "), allowed: " + OWNER_ONLY + " or less");
            }
            String text = Files.readString(file, StandardCharsets.ISO_8859_1).strip();
            byte[] key = Base64.getDecoder().decode(text);
            if (key.length != KEY_BYTES) {
                throw fault(
                        file, key.length + " bytes, allowed: " + KEY_BYTES + " in base64, as `keys seal` writes them");
            }
            return new SecretSealer(key, random);
        } catch (NoSuchFileException e) {
            throw fault(file, "there is no such file");
        } catch (IllegalArgumentException e) {
            throw fault(file, "no base64, allowed: what `keys seal` writes");
        }
    }

    private static SettingsFault fault(Path file, String message) {
        return new SettingsFault(List.of(file + ": " + message));
    }

    /**
     * Encrypts a secret.
     *
     * @param context what the secret is about; it can be opened for the same context only
     * @return nonce and ciphertext, as base64
     */
    public String seal(byte[] plaintext, String context) {
        byte[] nonce = new byte[NONCE_BYTES];
        random.nextBytes(nonce);
        try {
            Cipher cipher = cipher(Cipher.ENCRYPT_MODE, new GCMParameterSpec(TAG_BITS, nonce), context);
            byte[] ciphertext = cipher.doFinal(plaintext);
            ByteBuffer sealed = ByteBuffer.allocate(NONCE_BYTES + ciphertext.length);
            sealed.put(nonce).put(ciphertext);
            return Base64.getEncoder().encodeToString(sealed.array());
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("every JDK has AES/GCM", e);
        }
    }

    /**
     * Decrypts what {@link #seal} returned.
     *
     * @throws IOException if it was sealed with another key or for another context, or was changed
     */
    public byte[] open(String sealed, String context) throws IOException {
        try {
            byte[] bytes = Base64.getDecoder().decode(sealed);
            if (bytes.length < NONCE_BYTES + TAG_BITS / Byte.SIZE) {
                throw new IOException("sealed text of " + bytes.length + " bytes, too short");
            }
            GCMParameterSpec nonce = new GCMParameterSpec(TAG_BITS, bytes, 0, NONCE_BYTES);
            return cipher(Cipher.DECRYPT_MODE, nonce, context).doFinal(bytes, NONCE_BYTES, bytes.length - NONCE_BYTES);
        } catch (AEADBadTagException e) {
            throw new IOException("sealed by another key, or changed on its way", e);
        } catch (GeneralSecurityException | IllegalArgumentException e) {
            throw new IOException("no sealed text: " + e.getMessage(), e);
        }
    }

    private Cipher cipher(int mode, GCMParameterSpec nonce, String context) throws GeneralSecurityException {
        Cipher cipher = Cipher.getInstance(CIPHER);
        cipher.init(mode, key, nonce);
        cipher.updateAAD(context.getBytes(StandardCharsets.UTF_8));
        return cipher;
    }
}
