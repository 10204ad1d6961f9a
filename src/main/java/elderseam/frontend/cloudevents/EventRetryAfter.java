package elderseam.frontend.cloudevents;

import elderseam.core.Clock;
import elderseam.core.RetryAfterListener;
import elderseam.http.EndpointAddress;
import elderseam.http.ResponseHead;
import elderseam.http.ResponseHeadListener;
import elderseam.policy.RetryAfterRules;
import elderseam.policy.RetryAfterRules.Reading;
import java.time.Duration;
import java.time.Instant;
import java.time.format.DateTimeFormatter;
import java.time.format.DateTimeParseException;
import java.util.Map;
import java.util.OptionalLong;
import java.util.regex.Pattern;

/**
 * Reads the Retry-After (RFC 9110, 10.2.3) of endpoints that receive events, in seconds or as a date, from the heads of
 * responses that reject an event. Confined to the I/O thread.
 */
final class EventRetryAfter implements ResponseHeadListener {
    private static final String HEADER = "Retry-After";
    private static final Pattern SECONDS = Pattern.compile("\\d{1,6}(\\.\\d{0,9})?");
    private static final double NS_PER_SECOND = 1_000 * Clock.MILLISECOND_NS;
    private static final OptionalLong NO_WAIT = OptionalLong.of(0);

    private final RetryAfterListener listener;

    EventRetryAfter(RetryAfterListener listener) {
        this.listener = listener;
    }

    /** Whether a response with that status rejects an event, perhaps with a Retry-After. */
    static boolean isRejection(int statusCode) {
        return statusCode == 429 || statusCode == 503;
    }

    @Override
    public void headReceived(EndpointAddress endpoint, ResponseHead head) {
        if (!isRejection(head.statusCode())) {
            return;
        }
        OptionalLong told = read(head.headers());
        Reading reading = switch (head.extent()) {
            case COMPLETE -> told.isPresent() ? Reading.EXACT : Reading.UNREADABLE;
            case PARTIAL -> Reading.UNFINISHED;
            case BROKEN_OFF -> Reading.UNREADABLE;
        };
        long waitNs = RetryAfterRules.waitNs(reading, told.orElse(0));
        if (waitNs > 0) {
            listener.retryAfterReceived(endpoint.id(), waitNs, reading == Reading.UNREADABLE);
        }
    }

    /** Returns the wait that the headers tell, in nanoseconds; 0 if they tell none, or none that can be read. */
    static long nanoseconds(Map<String, String> headers) {
        return read(headers).orElse(0);
    }

    /** Returns the wait in nanoseconds; empty if it can't be read. */
    private static OptionalLong read(Map<String, String> headers) {
        String value = headers.get(HEADER);
        if (value == null) {
            return NO_WAIT;
        }
        if (SECONDS.matcher(value).matches()) {
            return OptionalLong.of((long) (Double.parseDouble(value) * NS_PER_SECOND));
        }
        return untilDate(value, headers.getOrDefault("Date", ""));
    }

    /** The time from one date to another, both by the endpoint's clock, which this machine's need not agree with. */
    private static OptionalLong untilDate(String date, String sentAt) {
        try {
            Instant end = DateTimeFormatter.RFC_1123_DATE_TIME.parse(date, Instant::from);
            Instant start = DateTimeFormatter.RFC_1123_DATE_TIME.parse(sentAt, Instant::from);
            Duration wait = Duration.between(start, end);
            return wait.compareTo(Duration.ofNanos(RetryAfterRules.MAX_NS)) > 0
                    ? OptionalLong.of(RetryAfterRules.MAX_NS)
                    : OptionalLong.of(Math.max(0, wait.toNanos()));
        } catch (DateTimeParseException e) {
            return OptionalLong.empty();
        }
    }
}
