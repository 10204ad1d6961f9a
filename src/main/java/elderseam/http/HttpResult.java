package elderseam.http;

import elderseam.core.AttemptOutcome.Progress;
import elderseam.core.AttemptOutcome.Status;
import java.util.Map;

/**
 * How an exchange with an endpoint ended: with its complete response, or with how far it had come and why there is no
 * response.
 *
 * @param progress {@link Progress#ANSWERED} with a complete response only
 * @param failure why there is no complete response; null if there is one
 * @param code the status code; of a response whose rest was malformed, too; 0 if no status line was read
 * @param headers by name in any case; empty without a complete response
 * @param body empty without a complete response
 */
public record HttpResult(Progress progress, Status failure, int code, Map<String, String> headers, byte[] body) {
    /** The result of an exchange without a complete response. */
    static HttpResult unanswered(Progress progress, Status failure, int code) {
        return new HttpResult(progress, failure, code, Map.of(), new byte[0]);
    }

    /** Whether there is a complete response. */
    public boolean answered() {
        return progress == Progress.ANSWERED;
    }

    /** The value of a header; empty if there is none. */
    public String header(String name) {
        return headers.getOrDefault(name, "");
    }
}
