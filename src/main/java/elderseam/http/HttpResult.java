package elderseam.http;

import elderseam.core.AttemptOutcome.Progress;
import elderseam.core.AttemptOutcome.Status;
import java.util.Map;

/**
 * The result of an exchange with an endpoint: the complete response or, without one, the progress of the exchange and
 * the reason for its failure.
 *
 * @param progress the last stage that was reached; {@link Progress#ANSWERED} only with a complete response
 * @param failure why there is no complete response; null if there is one
 * @param code the status code, also if the rest of the response was malformed; 0 if no status line was read
 * @param headers values by case-insensitive name; empty without a complete response
 * @param body the body of the response; empty without a complete response
 */
public record HttpResult(Progress progress, Status failure, int code, Map<String, String> headers, byte[] body) {
    /** Returns the result of an exchange without a complete response. */
    static HttpResult unanswered(Progress progress, Status failure, int code) {
        return new HttpResult(progress, failure, code, Map.of(), new byte[0]);
    }

    /** Whether there is a complete response. */
    public boolean answered() {
        return progress == Progress.ANSWERED;
    }

    /** Returns the value of a header; empty if there is none. */
    public String header(String name) {
        return headers.getOrDefault(name, "");
    }
}
