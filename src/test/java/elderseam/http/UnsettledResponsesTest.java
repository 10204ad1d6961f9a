package elderseam.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Which answered requests are kept, and for how long. */
class UnsettledResponsesTest {
    private static final int MAX_BYTES = 100;

    private final UnsettledResponses responses = new UnsettledResponses(MAX_BYTES);
    private final List<String> events = new ArrayList<>();

    private UnsettledResponses.Entry add(String name, int bytes, long settledAt) {
        ExchangeListener listener = new ExchangeListener() {
            @Override
            public void ended(HttpResult result) {}

            @Override
            public void refuted() {
                events.add(name + " refuted");
            }

            @Override
            public int retainedBytes() {
                return bytes;
            }

            @Override
            public void releaseRequest() {
                events.add(name + " released");
            }
        };
        return responses.add(listener, settledAt);
    }

    /** Guards against a heap that fills with answered requests: the one that is settled next gives way. */
    @Test
    void bodiesOverTheLimitAreReleasedAndCanStillBeRefuted() {
        UnsettledResponses.Entry late = add("late", 60, 9);
        UnsettledResponses.Entry early = add("early", 40, 5);
        assertEquals(List.of(), events);
        add("next", 40, 7);
        assertEquals(List.of("early released"), events);
        assertEquals(MAX_BYTES, responses.retainedBytes());
        early.refute();
        late.refute();
        assertEquals(List.of("early released", "early refuted", "late refuted"), events);
        add("huge", MAX_BYTES + 1, 20);
        assertEquals(0, responses.retainedBytes());
    }

    /** Guards against answered requests that are kept until the next answer on their connection. */
    @Test
    void whatIsOverItsTimeIsFreedByTime() {
        UnsettledResponses.Entry first = add("first", 10, 5);
        UnsettledResponses.Entry second = add("second", 10, 6);
        responses.settleExpired(5);
        assertTrue(first.isSettled(0));
        assertFalse(second.isSettled(5));
        assertEquals(List.of("first released"), events);
        responses.settle(second);
        responses.settle(second);
        assertTrue(responses.isEmpty());
        assertEquals(0, responses.retainedBytes());
    }
}
