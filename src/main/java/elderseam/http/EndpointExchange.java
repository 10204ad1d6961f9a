package elderseam.http;

import elderseam.core.AttemptConnection;
import elderseam.core.AttemptOutcome.Progress;
import elderseam.core.AttemptOutcome.Status;
import elderseam.core.Clock;
import elderseam.core.ConnectionReuse;
import elderseam.http.ResponseHead.Extent;
import elderseam.http.UnexpectedInput.Place;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import org.xnio.conduits.ConduitStreamSinkChannel;

/**
 * One request to an endpoint and its response. The exchange acquires an idle connection or opens a new one, writes the
 * request as long as it may be sent, and reads the response. Each step has a deadline. Confined to the I/O thread.
 */
public final class EndpointExchange {
    /** Time limit from the first byte of a response to the last. */
    private static final long RESPONSE_TIMEOUT_NS = 700 * Clock.MILLISECOND_NS;

    private static final ByteBuffer NOTHING = ByteBuffer.allocate(0);
    private static final OptionMap SOCKET_OPTIONS = OptionMap.create(Options.TCP_NODELAY, true);

    private final EndpointConnectionPool pool;
    private final EndpointAddress endpoint;
    private ByteBuffer request; // empty once no more of it will be written
    private final long connectBy;
    private final long answerBy;
    private final ExchangeListener listener;
    private final ConnectionReuse reuse;
    private final HttpResponseReader response;
    private Progress progress = Progress.NOT_CONNECTED;
    private EndpointConnection connection; // null until acquired or established
    private IoFuture<StreamConnection> connecting; // null if an idle connection was acquired
    private XnioExecutor.Key timer; // null until first set

    /** Identifies the current timer: one that was replaced when it was already due still runs and must be ignored. */
    private int timerGeneration;

    private boolean responseStarted;
    private boolean lateResultCounts;
    private boolean finished;

    EndpointExchange(
            EndpointConnectionPool pool,
            EndpointAddress endpoint,
            ByteBuffer request,
            long connectBy,
            long answerBy,
            ExchangeListener listener) {
        this.pool = pool;
        this.endpoint = endpoint;
        this.request = request;
        this.connectBy = connectBy;
        this.answerBy = answerBy;
        this.listener = listener;
        this.reuse = listener.connectionReuse();
        this.response = new HttpResponseReader(pool.maxResponseBytes);
    }

    /** Cancels the exchange. The result callback has been called when this method returns. */
    public void cancel() {
        abort(Status.ABANDONED);
    }

    void start() {
        connection = pool.acquireIdle(endpoint, reuse);
        if (connection == null) {
            connect();
            return;
        }
        connection.attach(this);
        pool.io.run(this::beginSending);
    }

    private void connect() {
        InetSocketAddress address = endpoint.socketAddress();
        if (address == null || !pool.reserveConnection()) {
            Status failure = address == null ? Status.BROKEN : Status.LOCAL_FAILURE;
            pool.io.run(() -> finish(failure));
            return;
        }
        setTimer(connectBy, Status.TIMED_OUT);
        connecting = pool.io.thread().openStreamConnection(address, this::connected, SOCKET_OPTIONS);
        connecting.addNotifier(
                (future, attachment) -> {
                    if (future.getStatus() != IoFuture.Status.DONE) {
                        IOException cause = future.getStatus() == IoFuture.Status.FAILED ? future.getException() : null;
                        pool.io.run(() -> connectFailed(cause));
                    }
                },
                null);
    }

    /** Handles a failed connect; {@code cause} is null if it was cancelled. */
    private void connectFailed(IOException cause) {
        pool.connectionFailed();
        if (cause != null && LocalFailures.isLocal(cause)) {
            pool.localFailures().record(cause);
            finish(Status.LOCAL_FAILURE);
        } else {
            finish(Status.BROKEN);
        }
    }

    private void connected(StreamConnection channel) {
        EndpointConnection opened = new EndpointConnection(pool, endpoint, channel, this);
        if (finished) {
            opened.close(); // the exchange ended before the connection was established
            return;
        }
        connection = opened;
        setTimer(answerBy, Status.TIMED_OUT);
        pool.io.run(this::beginSending);
    }

    /** Replaces the timer with one that aborts the exchange at the given time, for the given reason. */
    private void setTimer(long time, Status reason) {
        if (timer != null) {
            timer.remove();
        }
        timerGeneration++;
        int generation = timerGeneration;
        timer = pool.io.schedule(time, () -> {
            if (generation == timerGeneration) {
                abort(reason);
            }
        });
    }

    private void beginSending() {
        if (finished || connection == null || progress != Progress.NOT_CONNECTED) {
            return;
        }
        if (!listener.maySend()) {
            finish(Status.NOT_STARTED);
            return;
        }
        setTimer(answerBy, Status.TIMED_OUT);
        progress = Progress.PARTLY_WRITTEN;
        write(connection.sink());
    }

    /** Writes as much of the request as the socket accepts now, and the rest when the socket is writable again. */
    private void write(ConduitStreamSinkChannel sink) {
        try {
            while (!finished && request.hasRemaining()) {
                if (!listener.maySend()) {
                    finish(Status.NOT_STARTED); // the endpoint never executes a truncated request
                } else if (sink.write(request) == 0) {
                    sink.setWriteListener(this::write);
                    sink.resumeWrites();
                    return;
                }
            }
            if (!finished) {
                sink.suspendWrites();
                connection.requestWritten(pool.io.clock.now());
                request = NOTHING;
                progress = Progress.WRITTEN; // from this point on the endpoint may have executed the request
                listener.written(new AttemptConnection(connection.number, connection.answeredExchanges()));
            }
        } catch (IOException e) {
            connection.readAvailable(); // the endpoint may have responded before it closed the connection
            finish(Status.BROKEN);
        }
    }

    /**
     * Processes the bytes that its connection has read into the pool's buffer.
     *
     * @param count the number of bytes, or {@link EndpointConnection#END_OF_STREAM}
     * @return whether the exchange no longer reads from that connection
     */
    boolean receive(int count) {
        if (progress == Progress.NOT_CONNECTED) {
            if (count > 0) {
                connection.unexpectedInput(Place.BEFORE_REQUEST);
            }
            handleEarlyInput();
            return true;
        }
        parse(count);
        reportHead(Extent.PARTIAL);
        if (response.isComplete()) {
            receiveComplete(count);
        } else if (response.isMalformed()) {
            boolean anyInput = responseStarted || count > 0;
            finish(anyInput ? Status.ERROR : Status.BROKEN);
        } else if (!responseStarted) {
            responseStarted = true;
            setTimer(Math.min(answerBy, pool.io.clock.now() + RESPONSE_TIMEOUT_NS), Status.ERROR);
        }
        return finished;
    }

    /**
     * Handles input that arrives before the request is written. A new connection is then broken. A pooled connection
     * was closed by the endpoint while idle, and is replaced by a new one, since nothing was written on it yet.
     */
    private void handleEarlyInput() {
        if (connecting != null) {
            finish(Status.BROKEN);
            return;
        }
        connection.detach();
        connection.closeInDoubt();
        connection = null;
        connect();
    }

    private void parse(int count) {
        if (count == EndpointConnection.END_OF_STREAM) {
            response.endOfStream();
        } else {
            response.read(pool.readBuffer);
        }
    }

    /** Reports the head of the response as soon as it is read; {@code unlessComplete}: its extent while that is not so. */
    private void reportHead(Extent unlessComplete) {
        response.takeHead(unlessComplete).ifPresent(connection::reportHead);
    }

    private void receiveComplete(int count) {
        boolean certain = isCertain();
        boolean written = progress == Progress.WRITTEN;
        boolean surplus = count > 0 && pool.readBuffer.hasRemaining();
        boolean contradicted = surplus && !connection.unexpectedInput(Place.AFTER_RESPONSE);
        if (!certain && (contradicted || !written)) {
            finish(Status.ERROR); // the response may be that of an earlier request
            return;
        }
        if (!certain && isSuccess() && listener.isRefutable()) {
            connection.addUnsettled(listener, answerBy, pool.io.clock.now());
        }
        boolean reusable = count > 0
                && !surplus
                && written
                && response.allowsReuse()
                && !mayBeCopiedRejection()
                && connection.hasNoUnexpectedInput(Place.AFTER_RESPONSE);
        if (written) {
            pool.reuseRules().answered(endpoint, pool.io.clock.now() - connection.lastWrittenNs());
        }
        progress = Progress.ANSWERED;
        connection.exchangeAnswered(isSuccess());
        finish(reusable ? null : Status.ERROR);
    }

    /** Whether input on the connection can only be the response to this request. */
    private boolean isCertain() {
        return connection.answeredExchanges() == 0 || reuse == ConnectionReuse.TRUSTED_PEER;
    }

    /** Whether the response is a rejection that may be the copy of an earlier one on the connection. */
    private boolean mayBeCopiedRejection() {
        return !isCertain() && !isSuccess() && !connection.hasOnlySuccesses();
    }

    private boolean isSuccess() {
        return response.statusCode() / 100 == 2;
    }

    /** Ends the exchange without a response, unless input that has already arrived completes the response. */
    private void abort(Status reason) {
        if (!finished && connection != null && progress == Progress.WRITTEN) {
            connection.readAvailable();
        }
        finish(reason);
    }

    /** Processes bytes read after the exchange was aborted, like {@link #receive} before the abort. */
    void receiveLate(int count) {
        parse(count);
        reportHead(count == EndpointConnection.END_OF_STREAM ? Extent.BROKEN_OFF : Extent.PARTIAL);
        if (!response.isComplete() && !response.isMalformed()) {
            return;
        }
        connection.lateResponseRead();
        boolean believed = response.isComplete() && lateResultCounts;
        if (count == EndpointConnection.END_OF_STREAM || believed) {
            connection.close();
        } else {
            connection.readStray(response);
        }
        if (believed) {
            listener.lateResult(completeResult());
        }
    }

    /** The connection was closed before the late response was complete. */
    void lateResponseEnded() {
        reportHead(Extent.BROKEN_OFF);
    }

    /** Receives the head of each response on the connection. */
    ResponseHeadListener responseHeads() {
        return listener.responseHeads();
    }

    /**
     * Ends the exchange and reports its result; does nothing if it has already ended. A complete response is always
     * reported as the result.
     *
     * @param failure why there is no complete response, or why the connection cannot be reused after one; null if there
     *     is a complete response and the connection can be reused
     */
    private void finish(Status failure) {
        if (finished) {
            return;
        }
        finished = true;
        request = NOTHING;
        if (timer != null) {
            timer.remove();
        }
        if (connection != null) {
            readUnbelieved();
            releaseConnection(failure);
        } else if (connecting != null) {
            connecting.cancel();
        }
        listener.ended(progress == Progress.ANSWERED ? completeResult() : unansweredResult(failure));
    }

    /** Whatever becomes of a response that is not believed, what it asks for holds. */
    private void readUnbelieved() {
        if (progress == Progress.ANSWERED) {
            return;
        }
        pool.discardedResponses().record(connection, response);
        if (response.isMalformed()) {
            connection.readStray(response);
        } else {
            reportHead(Extent.BROKEN_OFF);
        }
    }

    /** The status of an incomplete response counts only if it can't be that of another request. */
    private HttpResult unansweredResult(Status failure) {
        boolean certain = connection == null || isCertain();
        return HttpResult.unanswered(progress, failure, certain ? response.statusCode() : 0);
    }

    private HttpResult completeResult() {
        return new HttpResult(Progress.ANSWERED, null, response.statusCode(), response.headers(), response.body());
    }

    private void releaseConnection(Status failure) {
        connection.detach();
        boolean unused = failure == Status.NOT_STARTED && progress == Progress.NOT_CONNECTED;
        boolean unsettled = connection.answeredExchanges() > 1; // read on, for a response that refutes this one
        if (unused || (failure == null && (unsettled || pool.keepsOpen(endpoint, reuse)))) {
            pool.addIdle(endpoint, connection);
        } else if (mayRespondLate(failure)) {
            if (!connection.halfClose(this)) {
                connection.close();
            }
        } else if (mayBeFollowed()) {
            connection.closeInDoubt();
        } else {
            connection.close();
        }
    }

    private boolean mayRespondLate(Status failure) {
        boolean cancelled = failure == Status.TIMED_OUT || failure == Status.ABANDONED;
        boolean pending = progress == Progress.WRITTEN && !response.isComplete() && !response.isMalformed();
        lateResultCounts = cancelled && isCertain() && listener.awaitsLateResult();
        boolean headCounts = listener.responseHeads() != ResponseHeadListener.NONE;
        return pending && (lateResultCounts || (headCounts && (cancelled || failure == Status.ERROR)));
    }

    /** Whether a further response may arrive on the connection, because this one may belong to another request. */
    private boolean mayBeFollowed() {
        boolean requestSent = progress == Progress.WRITTEN || progress == Progress.ANSWERED;
        boolean distrusted = !pool.reuseRules().mayReuse(endpoint);
        return connection.hasStrayInput() || (requestSent && (distrusted || !isCertain()));
    }
}
