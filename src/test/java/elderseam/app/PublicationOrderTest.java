package elderseam.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import elderseam.acme.SecretSealer;
import elderseam.settings.Settings;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A member that knows of no holder reads in the group's log that the order of another member has ended. */
class PublicationOrderTest {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String LEASE = "certificate:localhost";
    private static final Instant START = Instant.EPOCH;
    private static final Instant OWN_ORDER_AT = START.plusSeconds(180);

    /** Longer than a member waits while it knows of no holder, and half of the time that an order has. */
    private static final Duration NO_HOLDER_WAIT = Duration.ofSeconds(31);

    @TempDir
    Path folder;

    private SecretSealer seal;
    private LeasedCertificateOrder order;
    private final List<Boolean> ordersDuringHandOver = new ArrayList<>();

    @BeforeEach
    void joinFleet() throws Exception {
        Path key = folder.resolve("seal");
        SecretSealer.createKeyFile(key, new SecureRandom());
        seal = SecretSealer.readKeyFile(key, new SecureRandom());
        Path file = Files.writeString(
                folder.resolve("settings"),
                "[fleet]\nlisten = 127.0.0.1:9001\nname = n1\nmembers = n1=127.0.0.1:9001 n2=127.0.0.1:9002\ncertificates = one\n"
                        + "certificate_key = " + key
                        + "\n[events]\nlisten = 127.0.0.1:0\n[acme]\ndirectory = http://127.0.0.1:1/directory\n"
                        + "names = localhost\nchallenges = 127.0.0.1:0\n");
        order = new LeasedCertificateOrder(Settings.read(file));
    }

    private boolean ordersAt(Instant now) {
        return order.isOrderedHere(now, START, OWN_ORDER_AT);
    }

    private static String publication(String sealedBundle, Map<String, String> answers) throws JsonProcessingException {
        return JSON.writeValueAsString(new LeasedCertificateOrder.Publication(sealedBundle, answers));
    }

    private static String announcement(String member) throws JsonProcessingException {
        return publication("", Map.of("ordering-member", member));
    }

    /** While the certificate is handed over, this member asks twice whether it orders, at the ends of the wait. */
    @Test
    void anOrderEndsOnlyOnceItsCertificateIsHandedOver() throws Exception {
        Instant handedOverAt = START.plus(NO_HOLDER_WAIT);
        order.servedBy((answers, bundle) -> {
            if (bundle != null) {
                ordersDuringHandOver.add(ordersAt(handedOverAt));
                ordersDuringHandOver.add(ordersAt(handedOverAt.plus(NO_HOLDER_WAIT)));
            }
        });
        assertFalse(ordersAt(START), "a group that starts has no holder yet");
        order.onPublished(announcement("n2"));
        assertFalse(ordersAt(handedOverAt), "the order of n2 is open");
        order.onPublished(publication(seal.seal(new byte[] {1}, LEASE), Map.of()));
        assertEquals(List.of(false, false), ordersDuringHandOver);
    }

    /** A certificate that can't be opened here ends the order all the same: nobody waits for it in vain. */
    @Test
    void anOrderEndsThoughItsCertificateIsUnusable() throws Exception {
        order.servedBy((answers, bundle) -> {});
        order.onPublished(announcement("n2"));
        order.onPublished(publication("not sealed", Map.of()));
        assertFalse(ordersAt(START), "no holder is known from here on");
        assertTrue(ordersAt(START.plus(NO_HOLDER_WAIT)));
    }
}
