package elderseam.app;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.ObjectMapper;
import elderseam.compat.RecordedBytes;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** What the holder of the certificate's lease publishes in the group's log. */
class CertificateLogCompatTest {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final List<LeasedCertificateOrder.Passed> PASSED = List.of(
            new LeasedCertificateOrder.Passed("", Map.of("token-1", "token-1.thumbprint")),
            new LeasedCertificateOrder.Passed("c2VhbGVk", Map.of()));

    @Test
    void passedCertificates() throws IOException {
        List<String> written = List.of(JSON.writeValueAsString(PASSED.get(0)), JSON.writeValueAsString(PASSED.get(1)));
        List<String> recorded = RecordedBytes.lines("lease/passed-certificates", written);
        assertEquals(recorded, written);
        for (int i = 0; i < PASSED.size(); i++) {
            assertEquals(PASSED.get(i), JSON.readValue(recorded.get(i), LeasedCertificateOrder.Passed.class));
        }
    }
}
