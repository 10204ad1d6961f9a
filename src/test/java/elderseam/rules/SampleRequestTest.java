package elderseam.rules;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import elderseam.core.ActiveRequest;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class SampleRequestTest {
    private static final KnownNames NAMES = RuleLoaderTest.NAMES;

    private final List<String> faults = new ArrayList<>();

    @Test
    void aRequestOfThePlatform() {
        SampleRequest request = SampleRequest.parse("""
                POST /rent-payment HTTP/1.1
                X-Org: khomas
                X-Addressing: dest=17
                X-Txn: t1
                X-Resent: 1
                Idempotency-Key: k

                first
                second
                """, faults);
        request.setState("remaining=2.5", faults);
        assertEquals(List.of(), faults);
        assertEquals("platform", request.frontend());
        assertEquals("POST", request.method());
        assertEquals("/rent-payment", request.path());
        assertEquals("khomas", request.headers().get("X-ORG"));
        assertEquals(Map.of(), request.eventAttributes());
        assertEquals("first\nsecond", new String(request.body(), StandardCharsets.UTF_8));
        ActiveRequest.Message message = request.message(NAMES);
        assertEquals("t1", message.id());
        assertEquals(2, message.classIndex());
        assertEquals(1, message.tenantIndex());
        assertEquals(17, message.destination());
        assertEquals(2_500_000_000L, message.deadline());
        assertTrue(message.resubmitted());
        assertEquals("k", message.idempotencyKey());
    }

    @Test
    void anEventInBinaryMode() {
        SampleRequest request = SampleRequest.parse(
                "POST /events\r\nce-source: /a\r\nce-id: 1\r\nce-type: job-order\r\nce-tenant: erongo\r\nce-destination: 5\r\n",
                faults);
        assertEquals(List.of(), faults);
        assertEquals("events", request.frontend());
        assertEquals("job-order", request.eventAttributes().get("type"));
        ActiveRequest.Message message = request.message(NAMES);
        assertEquals("/a1", message.id());
        assertEquals(1, message.classIndex());
        assertEquals(0, message.tenantIndex());
        assertEquals(5, message.destination());
    }

    @Test
    void stateThatIsGivenIsSeen() {
        SampleRequest request = SampleRequest.parse("POST /job-order", faults);
        request.setState("rate=1.5 share=2 breaker=half_open in_flight=3 wait=0.5 held=4", faults);
        assertEquals(List.of(), faults);
        RuleEnvironment environment = request.environment();
        assertEquals(1.5, environment.tenantRate(0));
        assertEquals(2, environment.tenantQuota(0));
        assertEquals(RuleEnvironment.Breaker.HALF_OPEN, environment.breaker(0));
        assertEquals(3, environment.attemptsInFlight(0));
        assertEquals(500_000_000L, environment.retryAfterNs(0));
        assertEquals(4, environment.requestsHeld());
    }

    @Test
    void faultsOfEachPart() {
        SampleRequest.parse("job-order", faults);
        SampleRequest request = SampleRequest.parse("POST /job-order\nX-Org\n", faults);
        request.setState("rat=1 held=x", faults);
        request.setTime("tomorrow", faults);
        assertEquals(
                List.of(
                        "'job-order' is no first line of a request, allowed: such as POST /invoice",
                        "'X-Org' is no header, allowed: NAME: VALUE",
                        "'rat=1' is no state, allowed: rate=NUMBER share=NUMBER breaker=closed|half_open|open"
                                + " in_flight=N wait=SECONDS held=N remaining=SECONDS",
                        "'held=x' is no state, allowed: rate=NUMBER share=NUMBER breaker=closed|half_open|open"
                                + " in_flight=N wait=SECONDS held=N remaining=SECONDS",
                        "'tomorrow' is no time, allowed: such as 2026-12-31T08:00:00Z"),
                faults);
    }
}
