package elderseam.frontend.cloudevents;

import elderseam.core.Clock;
import elderseam.core.RetryAfterListener;
import elderseam.http.EndpointAddress;
import elderseam.http.ResponseHead;
import elderseam.http.ResponseHeadListener;
import elderseam.policy.RetryAfterRules;
import elderseam.policy.RetryAfterRules.Reading;
import java.util.regex.Pattern;

/**
 * Reads the Retry-After of endpoints that receive events, in seconds, from the heads of responses that reject an event.
 * Confined to the I/O thread.
 */
final class EventRetryAfter implements ResponseHeadListener {
    /** The header. */
    static final String HEADER = "Retry-After";

    private static final Pattern SECONDS = Pattern.compile("\\d{1,6}(\\.\\d{0,9})?");
    private static final double NS_PER_SECOND = 1_000 * Clock.MILLISECOND_NS;

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
        Reading reading = switch (head.extent()) {
            case COMPLETE -> Reading.EXACT;
            case PARTIAL -> Reading.UNFINISHED;
            case BROKEN_OFF -> Reading.UNREADABLE;
        };
        long waitNs = RetryAfterRules.waitNs(reading, nanoseconds(head.header(HEADER)));
        if (waitNs > 0) {
            listener.retryAfterReceived(endpoint.id(), waitNs, reading != Reading.EXACT);
        }
    }

    /** The nanoseconds of a Retry-After in seconds; 0 where it is absent or anything else, such as a date. */
    static long nanoseconds(String value) {
        if (!SECONDS.matcher(value).matches()) {
            return 0;
        }
        return (long) (Double.parseDouble(value) * NS_PER_SECOND);
    }
}
