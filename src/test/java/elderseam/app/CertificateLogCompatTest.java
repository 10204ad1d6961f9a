package elderseam.app;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.ObjectMapper;
import elderseam.compat.RecordedResource;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** What the holder of the certificate's lease publishes in the group's log. */
class CertificateLogCompatTest {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final List<LeasedCertificateOrder.Publication> PUBLICATIONS = List.of(
            new LeasedCertificateOrder.Publication("", Map.of("token-1", "token-1.thumbprint")),
            new LeasedCertificateOrder.Publication("c2VhbGVk", Map.of()));

    @Test
    void publishedCertificates() throws IOException {
        List<String> written =
                List.of(JSON.writeValueAsString(PUBLICATIONS.get(0)), JSON.writeValueAsString(PUBLICATIONS.get(1)));
        List<String> recorded = RecordedResource.linesOrRecord("lease/passed-certificates", written);
        assertEquals(recorded, written);
        for (int i = 0; i < PUBLICATIONS.size(); i++) {
            assertEquals(
                    PUBLICATIONS.get(i), JSON.readValue(recorded.get(i), LeasedCertificateOrder.Publication.class));
        }
    }
}
