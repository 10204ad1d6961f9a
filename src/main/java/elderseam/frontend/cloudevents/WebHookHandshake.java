package elderseam.frontend.cloudevents;

import elderseam.http.HttpServer;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * The validation handshake of "HTTP 1.1 Web Hooks for Event Delivery" 1.0.2, section 4: a sender asks by OPTIONS whether
 * it may deliver here, and how fast. Immutable.
 *
 * @param allowedOrigins which senders may, by the names that they give themselves, in lower case; {@code *} for all.
 *     Without any the handshake is off
 * @param ratePerMinute the largest rate that is granted, in requests a minute; 0 for any
 */
record WebHookHandshake(List<String> allowedOrigins, int ratePerMinute) {
    private static final String ANY = "*";
    private static final int ANY_RATE = 0;
    private static final Pattern REQUESTED_RATE = Pattern.compile("[1-9]\\d{0,8}|\\*");

    /** The answer to OPTIONS. */
    record Reply(int code, Map<String, String> headers) {}

    /** Methods of the events' path, as the header Allow names them. */
    String allowedMethods() {
        return isOff() ? "POST" : "POST, OPTIONS";
    }

    private boolean isOff() {
        return allowedOrigins.isEmpty();
    }

    /** Answers a sender's OPTIONS. */
    Reply answer(HttpServer.Request request) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Allow", allowedMethods());
        if (isOff()) {
            return new Reply(405, headers);
        }
        String origin = request.header("WebHook-Request-Origin");
        if (origin.isEmpty()) {
            return new Reply(400, headers);
        }
        boolean allowsAll = allowedOrigins.contains(ANY);
        if (!allowsAll && !allowedOrigins.contains(origin.toLowerCase(Locale.ROOT))) {
            return new Reply(403, headers);
        }
        String requestedRate = request.header("WebHook-Request-Rate");
        if (!requestedRate.isEmpty() && !REQUESTED_RATE.matcher(requestedRate).matches()) {
            return new Reply(400, headers);
        }
        headers.put("WebHook-Allowed-Origin", allowsAll ? ANY : origin);
        if (!requestedRate.isEmpty() || ratePerMinute != ANY_RATE) {
            headers.put("WebHook-Allowed-Rate", grantedRate(requestedRate));
        }
        return new Reply(200, headers);
    }

    private String grantedRate(String requestedRate) {
        if (ratePerMinute == ANY_RATE) {
            return ANY;
        }
        if (requestedRate.isEmpty() || requestedRate.equals(ANY)) {
            return Integer.toString(ratePerMinute);
        }
        return Integer.toString(Math.min(ratePerMinute, Integer.parseInt(requestedRate)));
    }
}
