package elderseam.frontend.cloudevents;

import static org.junit.jupiter.api.Assertions.assertEquals;

import elderseam.core.Clock;
import elderseam.core.SettingsMap;
import elderseam.http.HttpServer.Request;
import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** How long the outcome of an event is remembered. */
class EventRetentionTest {
    private static final SettingsMap SETTINGS = new SettingsMap(Map.of(
            "extra.callSlots", "4",
            "limits.mostHeld", "64",
            "limits.maxAttempts", "3",
            "services.count", "1",
            "services.0.name", "pay",
            "services.0.effect", "once",
            "services.0.targetNs", "5000",
            "services.0.giveUpNs", "9000"));
    private static final Map<String, String> EVENT =
            Map.of("ce-specversion", "1.0", "ce-type", "pay", "ce-source", "/a", "ce-id", "1", "ce-destination", "1");

    private static DecodedEvent.Valid decoded(long retentionNs) {
        HeaderMap headers = new HeaderMap();
        EVENT.forEach((name, value) -> headers.put(new HttpString(name), value));
        Clock clock = new Clock() {
            @Override
            public long now() {
                return 0;
            }
        };
        return (DecodedEvent.Valid) new EventDecoder(clock, SETTINGS, retentionNs)
                .decode(new Request("POST", "/events", headers, new byte[0]), false)
                .events()
                .get(0);
    }

    /** Guards against an event that takes effect twice: its sender gave up and asks again, within the event's time. */
    @Test
    void theOutcomeIsRememberedUntilTheDeadlineAtLeast() {
        assertEquals(9_000, decoded(1_000).message().rememberUntil());
        assertEquals(10_000, decoded(10_000).message().rememberUntil());
    }
}
