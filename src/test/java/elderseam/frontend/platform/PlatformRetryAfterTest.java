package elderseam.frontend.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import elderseam.http.EndpointAddress;
import elderseam.http.ResponseHead;
import elderseam.http.ResponseHead.Extent;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** For how long a destination is not called, by what was read of a response. */
class PlatformRetryAfterTest {
    // Guards against issue 56: a wait that is not read whole, or not in a believed answer, is taken for none.
    @ParameterizedTest
    @CsvSource({
        "429, 1500, COMPLETE, 1500",
        "200, 1500, COMPLETE, 1500",
        "429, -, COMPLETE, 0",
        "429, 1e300, COMPLETE, 600000",
        "429, 15x0, COMPLETE, 5000",
        "429, 15812ms, COMPLETE, 15812",
        "429, '7000, 7000', COMPLETE, 7000",
        "429, '', COMPLETE, 5000",
        "429, -, PARTIAL, 1000",
        "429, 15, PARTIAL, 1000",
        "429, 1500, PARTIAL, 1500",
        "429, -, BROKEN_OFF, 5000",
        "429, 15000, BROKEN_OFF, 15000",
        "503, -, BROKEN_OFF, 0",
        "200, -, BROKEN_OFF, 0"
    })
    void theWaitThatBinds(int statusCode, String value, Extent extent, long waitMs) {
        List<Long> waits = new ArrayList<>();
        PlatformRetryAfter retryAfter =
                new PlatformRetryAfter((endpoint, waitNs, presumed) -> waits.add(waitNs / 1_000_000));
        Map<String, String> headers = value.equals("-") ? Map.of() : Map.of("X-RateLimit-Wait-Ms", value);
        retryAfter.headReceived(new EndpointAddress("h1", ""), new ResponseHead(statusCode, headers, extent));
        assertEquals(waitMs == 0 ? List.of() : List.of(waitMs), waits);
    }
}
