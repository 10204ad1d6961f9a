package elderseam.frontend.cloudevents;

import elderseam.http.HttpServer.Request;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * The validation handshake of "HTTP 1.1 Web Hooks for Event Delivery" 1.0.2, section 4: a sender asks by OPTIONS whether
 * it may deliver here, and how fast. {@code origins}: who may, by the names that senders give themselves, {@code *} for
 * all; empty: the handshake is off. {@code rate}: requests a minute at most, 0 for any.
 */
record WebHookHandshake(List<String> origins, int rate) {
    /** What is answered, and with which headers. */
    record Reply(int code, Map<String, String> headers) {}

    Reply answer(Request r) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Allow", origins.isEmpty() ? "POST" : "POST, OPTIONS");
        if (origins.isEmpty()) {
            return new Reply(405, headers);
        }
        String origin = r.header("WebHook-Request-Origin");
        if (origin.isEmpty()) {
            return new Reply(400, headers);
        }
        boolean all = origins.contains("*");
        if (!all && !origins.contains(origin.toLowerCase(Locale.ROOT))) {
            return new Reply(403, headers); // without an allowed origin nothing is granted
        }
        String asked = r.header("WebHook-Request-Rate");
        if (!asked.isEmpty() && !asked.matches("[1-9]\\d{0,8}|\\*")) {
            return new Reply(400, headers);
        }
        headers.put("WebHook-Allowed-Origin", all ? "*" : origin);
        if (!asked.isEmpty() || rate > 0) {
            headers.put(
                    "WebHook-Allowed-Rate",
                    rate == 0
                            ? "*"
                            : asked.isEmpty() || asked.equals("*")
                                    ? Integer.toString(rate)
                                    : Integer.toString(Math.min(rate, Integer.parseInt(asked))));
        }
        return new Reply(200, headers);
    }
}
