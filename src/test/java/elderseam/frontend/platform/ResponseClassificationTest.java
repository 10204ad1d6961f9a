package elderseam.frontend.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import elderseam.core.AttemptOutcome;
import elderseam.core.AttemptOutcome.Progress;
import elderseam.core.AttemptOutcome.Status;
import elderseam.http.HttpResult;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** What an answer of an upstream host means. */
class ResponseClassificationTest {
    private static AttemptOutcome end(int code, String header, String value) {
        return PlatformAttemptSender.meaning(
                new HttpResult(Progress.ANSWERED, null, code, Map.of(header, value), new byte[0]), List.of("x0", "x1"));
    }

    @Test
    void codesAndWaits() {
        assertEquals(Status.DELIVERED, end(200, "X", "").status());
        assertEquals(350_000_000L, end(429, "X-RateLimit-Wait-Ms", "350").retryAfterNs());
        assertEquals(0, end(200, "X-RateLimit-Wait-Ms", "350").retryAfterNs());
        assertEquals(Status.OVERLOADED, end(503, "X-Over-Slots", "0").status());
        assertEquals(Status.NO_SLOT, end(503, "X-Over-Slots", "1").status());
        assertEquals(Status.EXPIRED, end(504, "X", "").status());
        assertEquals(Status.WITHDRAWN, end(410, "X", "").status());
        assertEquals(
                List.of(true, false, false),
                List.of(
                        end(500, "X", "").mayHaveRun(),
                        end(503, "X", "").mayHaveRun(),
                        end(410, "X", "").mayHaveRun()));
    }

    /** A report is read by its fields' names; nonsense in it counts as untold. */
    @Test
    void reports() {
        AttemptOutcome told = end(200, "X-Pressure", "TEXT x0=0.4, x1=25");
        assertEquals(List.of(0.4, 25.0), List.of(told.headroom(), told.limitPerSecond()));
        for (String nonsense : List.of(
                "TEXT x1=many, x0",
                "BIN x0=0.4, x1=25",
                "TEXT x0=0.4, x1=1e300",
                "TEXT x0=NaN, x1=-3",
                "TEXT x0=7, x1=25",
                "\u0000\u00ff=,=,")) {
            AttemptOutcome odd = end(200, "X-Pressure", nonsense);
            assertEquals(List.of(0.0, 0.0), List.of(odd.headroom(), odd.limitPerSecond()), nonsense);
        }
        assertTrue(end(429, "X-RateLimit-Wait-Ms", "1e300").retryAfterNs() > 0, "an endless wait must not run over");
    }

    @Test
    void remainingTimes() {
        assertEquals(480_000_000L, PlatformFrontend.remaining("480m"));
        assertEquals(480_000L, PlatformFrontend.remaining("480u"));
        assertEquals(-1, PlatformFrontend.remaining("480"));
        assertEquals(-1, PlatformFrontend.remaining("-4m"));
    }
}
