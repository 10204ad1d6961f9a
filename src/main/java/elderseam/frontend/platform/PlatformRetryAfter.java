package elderseam.frontend.platform;

import elderseam.core.Clock;
import elderseam.core.RetryAfterListener;
import elderseam.http.EndpointAddress;
import elderseam.http.ResponseHead;
import elderseam.http.ResponseHeadListener;
import elderseam.policy.RetryAfterRules;
import elderseam.policy.RetryAfterRules.Reading;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Reads the Retry-After of the platform's endpoints, which stands in X-RateLimit-Wait-Ms, from the heads of responses. It
 * binds whatever the status: besides rejections, the answer to a call with several messages may have it. Confined to the
 * I/O thread.
 */
final class PlatformRetryAfter implements ResponseHeadListener {
    /** The header, in milliseconds. */
    static final String HEADER = "X-RateLimit-Wait-Ms";

    private static final int REJECTION_STATUS = 429;
    private static final String NO_WAIT = "0";
    private static final Pattern LEADING_NUMBER = Pattern.compile("\\d{1,9}(\\.\\d{1,9})?");

    private final RetryAfterListener listener;

    PlatformRetryAfter(RetryAfterListener listener) {
        this.listener = listener;
    }

    @Override
    public void headReceived(EndpointAddress endpoint, ResponseHead head) {
        boolean told = head.headers().containsKey(HEADER);
        if (!told && head.statusCode() != REJECTION_STATUS) {
            return;
        }
        Reading reading = reading(head);
        long waitNs = RetryAfterRules.waitNs(reading, nanoseconds(head.header(HEADER)));
        if (waitNs > 0) {
            listener.retryAfterReceived(endpoint.id(), waitNs, reading == Reading.UNREADABLE);
        }
    }

    private static Reading reading(ResponseHead head) {
        return switch (head.extent()) {
            case PARTIAL -> Reading.UNFINISHED;
            case BROKEN_OFF -> Reading.UNREADABLE;
            case COMPLETE -> {
                String value = head.headers().getOrDefault(HEADER, NO_WAIT);
                yield FiniteNumber.parse(value).isPresent() ? Reading.EXACT : Reading.UNREADABLE;
            }
        };
    }

    /** Returns the value of the header in nanoseconds, or the number that it begins with; 0 if it begins with none. */
    static long nanoseconds(String value) {
        double milliseconds = FiniteNumber.parse(value).orElseGet(() -> leadingNumber(value));
        return milliseconds > 0 ? (long) Math.min(RetryAfterRules.MAX_NS, milliseconds * Clock.MILLISECOND_NS) : 0;
    }

    private static double leadingNumber(String text) {
        Matcher number = LEADING_NUMBER.matcher(text);
        return number.lookingAt() ? Double.parseDouble(number.group()) : 0;
    }
}
