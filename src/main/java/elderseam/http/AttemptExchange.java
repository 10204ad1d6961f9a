package elderseam.http;

import elderseam.core.AttemptConnection;
import elderseam.core.AttemptListener;
import elderseam.core.AttemptOutcome;
import elderseam.core.ConnectionReuse;
import java.util.function.Function;

/** Passes the events of an exchange with a single message to the listener of its attempt. Confined to the I/O thread. */
public final class AttemptExchange implements ExchangeListener {
    private final AttemptListener attempt;
    private final ConnectionReuse reuse;
    private final ResponseHeadListener responseHeads;
    private final Function<HttpResult, AttemptOutcome> classifier;

    /**
     * @param reuse which connections may carry the attempt
     * @param responseHeads receives what responses ask for, whether or not they are believed
     * @param classifier the outcome of the attempt, by the result of its exchange
     */
    public AttemptExchange(
            AttemptListener attempt,
            ConnectionReuse reuse,
            ResponseHeadListener responseHeads,
            Function<HttpResult, AttemptOutcome> classifier) {
        this.attempt = attempt;
        this.reuse = reuse;
        this.responseHeads = responseHeads;
        this.classifier = classifier;
    }

    @Override
    public ConnectionReuse connectionReuse() {
        return reuse;
    }

    @Override
    public ResponseHeadListener responseHeads() {
        return responseHeads;
    }

    @Override
    public boolean maySend() {
        return attempt.maySend();
    }

    @Override
    public void written(AttemptConnection connection) {
        attempt.written(connection);
    }

    @Override
    public boolean awaitsLateResult() {
        return true;
    }

    @Override
    public void lateResult(HttpResult result) {
        attempt.answeredLate(classifier.apply(result));
    }

    @Override
    public void ended(HttpResult result) {
        attempt.ended(classifier.apply(result));
    }

    @Override
    public void refuted() {
        attempt.refuted();
    }

    @Override
    public boolean isRefutable() {
        return true;
    }

    @Override
    public int retainedBytes() {
        return attempt.retainedBytes();
    }

    @Override
    public void releaseRequest() {
        attempt.releaseBody();
    }
}
