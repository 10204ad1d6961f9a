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
 * What members of a fleet pass on sealed, since the group's log lies open on every member's disk and links: AES-256 in Galois
 * counter mode (NIST SP 800-38D), a random nonce of 96 bits before each text, by a key that the operator puts on every member in a
 * file that only its owner may read (32 bytes in base64, as {@code keys seal} writes it).
 */
public final class SecretSealer {
    private static final int KEY = 32, NONCE = 12, TAG_BITS = 128;
    private static final String OWNER = "rw-------";

    private final SecretKeySpec key;
    private final SecureRandom random;

    private SecretSealer(byte[] key, SecureRandom random) {
        this.key = new SecretKeySpec(key, "AES");
        this.random = random;
    }

    /** Makes a key in a file that must not be there yet. */
    public static void make(Path file, SecureRandom random) throws IOException {
        byte[] key = new byte[KEY];
        random.nextBytes(key);
        Files.createFile(file, PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString(OWNER)));
        Files.writeString(file, Base64.getEncoder().encodeToString(key) + "\n");
    }

    /** The seal of a key file; what is wrong with the file is told as a fault of the settings. */
    public static SecretSealer read(Path file, SecureRandom random) throws IOException {
        try {
            String rights = PosixFilePermissions.toString(Files.getPosixFilePermissions(file));
            if (!rights.endsWith("------")) {
                throw fault(file, "others than its owner may use it (" + rights + "), allowed: " + OWNER + " or less");
            }
            byte[] key = Base64.getDecoder()
                    .decode(Files.readString(file, StandardCharsets.ISO_8859_1).strip());
            if (key.length != KEY) {
                throw fault(file, key.length + " bytes, allowed: " + KEY + " in base64, as `keys seal` writes them");
            }
            return new SecretSealer(key, random);
        } catch (NoSuchFileException e) {
            throw fault(file, "there is no such file");
        } catch (IllegalArgumentException e) {
            throw fault(file, "no base64, allowed: what `keys seal` writes");
        }
    }

    private static SettingsFault fault(Path file, String words) {
        return new SettingsFault(List.of(file + ": " + words));
    }

    /** {@code plain} sealed, as base64; it opens for the same {@code about} alone. */
    public String close(byte[] plain, String about) {
        byte[] nonce = new byte[NONCE];
        random.nextBytes(nonce);
        try {
            Cipher cipher = Cipher.getInstance("AES/GCM/NoPadding");
            cipher.init(Cipher.ENCRYPT_MODE, key, new GCMParameterSpec(TAG_BITS, nonce));
            cipher.updateAAD(about.getBytes(StandardCharsets.UTF_8));
            byte[] sealed = cipher.doFinal(plain);
            return Base64.getEncoder()
                    .encodeToString(ByteBuffer.allocate(NONCE + sealed.length)
                            .put(nonce)
                            .put(sealed)
                            .array());
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("every JDK has AES/GCM", e);
        }
    }

    /** What was sealed about this, or an IOException: another key, other bytes, or about something else. */
    public byte[] open(String text, String about) throws IOException {
        try {
            byte[] all = Base64.getDecoder().decode(text);
            if (all.length < NONCE + TAG_BITS / 8) {
                throw new IOException("sealed text of " + all.length + " bytes, too short");
            }
            Cipher cipher = Cipher.getInstance("AES/GCM/NoPadding");
            cipher.init(Cipher.DECRYPT_MODE, key, new GCMParameterSpec(TAG_BITS, all, 0, NONCE));
            cipher.updateAAD(about.getBytes(StandardCharsets.UTF_8));
            return cipher.doFinal(all, NONCE, all.length - NONCE);
        } catch (AEADBadTagException e) {
            throw new IOException("sealed by another key, or changed on its way", e);
        } catch (GeneralSecurityException | IllegalArgumentException e) {
            throw new IOException("no sealed text: " + e.getMessage(), e);
        }
    }
}
