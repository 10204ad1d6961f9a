package elderseam.frontend.cloudevents;

import static org.junit.jupiter.api.Assertions.assertEquals;

import elderseam.core.AttemptOutcome.Progress;
import elderseam.http.EndpointAddress;
import elderseam.http.HttpResult;
import elderseam.http.ResponseHead;
import elderseam.http.ResponseHead.Extent;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** For how long the destination of an event is not called, by what was read of a response. */
class EventRetryAfterTest {
    private static final String SENT_AT = "Fri, 04 Dec 2026 08:00:00 GMT";
    private static final String TEN_SECONDS_LATER = "Fri, 04 Dec 2026 08:00:10 GMT";

    private static Map<String, String> headers(String retryAfter) {
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        headers.put("Date", SENT_AT);
        if (!retryAfter.equals("-")) {
            headers.put("Retry-After", retryAfter);
        }
        return headers;
    }

    // Guards against issue 56: the wait of a rejection that broke off, or that is told as a date, is taken for none.
    @ParameterizedTest
    @CsvSource({
        "429, 2, COMPLETE, 2000",
        "503, '" + TEN_SECONDS_LATER + "', COMPLETE, 10000",
        "503, tomorrow, COMPLETE, 5000",
        "503, -, COMPLETE, 0",
        "503, -, PARTIAL, 1000",
        "503, 12, BROKEN_OFF, 12000",
        "429, -, BROKEN_OFF, 5000",
        "500, 2, COMPLETE, 0"
    })
    void theWaitThatBinds(int statusCode, String value, Extent extent, long waitMs) {
        List<Long> waits = new ArrayList<>();
        EventRetryAfter retryAfter = new EventRetryAfter((endpoint, waitNs, presumed) -> waits.add(waitNs / 1_000_000));
        retryAfter.headReceived(new EndpointAddress("h1", ""), new ResponseHead(statusCode, headers(value), extent));
        assertEquals(waitMs == 0 ? List.of() : List.of(waitMs), waits);
    }

    // Guards against issue 56: a date as Retry-After of a believed answer sets no wait.
    @Test
    void aDateSetsTheWaitOfAnOutcome() {
        HttpResult result = new HttpResult(Progress.ANSWERED, null, 503, headers(TEN_SECONDS_LATER), new byte[0]);
        assertEquals(10_000_000_000L, EventAttemptSender.classify(result).retryAfterNs());
    }
}
