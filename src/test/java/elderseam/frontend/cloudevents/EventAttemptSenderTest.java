package elderseam.frontend.cloudevents;

import static org.junit.jupiter.api.Assertions.assertEquals;

import elderseam.core.AttemptOutcome;
import elderseam.core.AttemptOutcome.Progress;
import elderseam.core.AttemptOutcome.Status;
import elderseam.http.HttpResult;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** How {@link EventAttemptSender} classifies the responses of endpoints. */
class EventAttemptSenderTest {
    private static AttemptOutcome classify(int code, String retryAfter) {
        return EventAttemptSender.classify(
                new HttpResult(Progress.ANSWERED, null, code, Map.of("Retry-After", retryAfter), new byte[0]));
    }

    @ParameterizedTest
    @CsvSource({
        "200, DELIVERED",
        "202, DELIVERED",
        "299, DELIVERED",
        "300, ERROR",
        "400, ERROR",
        "429, FULL",
        "500, ERROR",
        "503, FULL"
    })
    void theCodeSaysTheStatus(int code, Status status) {
        assertEquals(status, classify(code, "").status());
    }

    @ParameterizedTest
    @CsvSource({"429, 2, 2000000000", "503, 0.25, 250000000", "503, -1, 0", "503, tomorrow, 0", "500, 2, 0"})
    void onlyAnOverloadedEndpointSetsARetryAfter(int code, String retryAfter, long waitNs) {
        assertEquals(waitNs, classify(code, retryAfter).waitNs());
    }

    @Test
    void ofABrokenResponseOnlyDeliveredCounts() {
        HttpResult delivered = new HttpResult(Progress.WRITTEN, Status.BROKEN, 204, Map.of(), new byte[0]);
        HttpResult overloaded = new HttpResult(Progress.WRITTEN, Status.BROKEN, 503, Map.of(), new byte[0]);
        assertEquals(
                new AttemptOutcome(Progress.ANSWERED, Status.DELIVERED, 0, 0, 0),
                EventAttemptSender.classify(delivered));
        assertEquals(
                AttemptOutcome.unanswered(Progress.WRITTEN, Status.BROKEN), EventAttemptSender.classify(overloaded));
    }
}
