package elderseam.http;

import elderseam.core.AttemptOutcome.Progress;
import elderseam.core.AttemptOutcome.Status;
import java.util.Map;

/**
 * What came of a request to another host: its whole answer, or how far it had come and why there is none. The code is of
 * the first line, which may have been read though the rest was spoilt; 0 otherwise.
 */
public record HttpResult(Progress progress, Status failure, int code, Map<String, String> headers, byte[] body) {
    static HttpResult none(Progress progress, Status failure, int code) {
        return new HttpResult(progress, failure, code, Map.of(), new byte[0]);
    }

    public boolean answered() {
        return progress == Progress.ANSWERED;
    }

    public String header(String name) {
        return headers.getOrDefault(name, "");
    }
}
