package elderseam.http;

import elderseam.core.AttemptOutcome.Progress;
import elderseam.core.AttemptOutcome.Status;
import elderseam.core.Clock;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import org.xnio.conduits.ConduitStreamSinkChannel;

/**
 * One request to an endpoint and its response. It takes an idle connection or opens one, writes the request while it
 * may be sent, and reads the response, each step with a deadline. Confined to the I/O thread.
 */
public final class EndpointExchange {
    /** From the first byte of a response to its last. */
    private static final long RESPONSE_TIMEOUT_NS = 700 * Clock.MILLISECOND_NS;

    private static final OptionMap SOCKET_OPTIONS = OptionMap.create(Options.TCP_NODELAY, true);

    private final EndpointConnectionPool pool;
    private final EndpointAddress endpoint;
    private final ByteBuffer request;
    private final long connectBy;
    private final long answerBy;
    private final BooleanSupplier maySend;
    private final Runnable onWritten;
    private final Consumer<HttpResult> onLateResult; // null: the connection is closed without waiting for one
    private final Consumer<HttpResult> onResult;
    private final HttpResponseReader response;
    private Progress progress = Progress.NOT_CONNECTED;
    private EndpointConnection connection; // null until there is one
    private IoFuture<StreamConnection> connecting; // null with a connection that was idle
    private XnioExecutor.Key timer; // null until the first is set
    private int timerNumber; // of the timer that counts: a replaced one may be due already and still run
    private boolean responseBegun;
    private boolean finished;

    EndpointExchange(
            EndpointConnectionPool pool,
            EndpointAddress endpoint,
            ByteBuffer request,
            long connectBy,
            long answerBy,
            BooleanSupplier maySend,
            Runnable onWritten,
            Consumer<HttpResult> onLateResult,
            Consumer<HttpResult> onResult) {
        this.pool = pool;
        this.endpoint = endpoint;
        this.request = request;
        this.connectBy = connectBy;
        this.answerBy = answerBy;
        this.maySend = maySend;
        this.onWritten = onWritten;
        this.onLateResult = onLateResult;
        this.onResult = onResult;
        this.response = new HttpResponseReader(pool.maxResponseBytes);
    }

    /** Cancels the exchange; its result is told before this returns, unless it was told already. */
    public void cancel() {
        giveUp(Status.ABANDONED);
    }

    void start() {
        connection = pool.takeIdle(endpoint);
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

    /** {@code cause} is null where the connect was cancelled. */
    private void connectFailed(IOException cause) {
        pool.connectionFailed();
        if (cause != null && LocalFailures.isLocal(cause)) {
            pool.localFailures().occurred(cause);
            finish(Status.LOCAL_FAILURE);
        } else {
            finish(Status.BROKEN);
        }
    }

    private void connected(StreamConnection channel) {
        EndpointConnection opened = new EndpointConnection(pool, channel, this);
        if (finished) {
            opened.close(); // too late
            return;
        }
        connection = opened;
        setTimer(answerBy, Status.TIMED_OUT);
        pool.io.run(this::beginSending);
    }

    /** Replaces the timer: at that time the exchange is given up, for that reason. */
    private void setTimer(long time, Status reason) {
        if (timer != null) {
            timer.remove();
        }
        timerNumber++;
        int number = timerNumber;
        timer = pool.io.schedule(time, () -> {
            if (number == timerNumber) {
                giveUp(reason);
            }
        });
    }

    private void beginSending() {
        if (finished || connection == null || progress != Progress.NOT_CONNECTED) {
            return;
        }
        if (!maySend.getAsBoolean()) {
            finish(Status.NOT_STARTED);
            return;
        }
        setTimer(answerBy, Status.TIMED_OUT);
        progress = Progress.PARTLY_WRITTEN;
        write(connection.sink());
    }

    /** Writes what the socket takes now, and the rest when it takes more. */
    private void write(ConduitStreamSinkChannel sink) {
        try {
            while (!finished && request.hasRemaining()) {
                if (!maySend.getAsBoolean()) {
                    finish(Status.NOT_STARTED); // a truncated request never runs
                } else if (sink.write(request) == 0) {
                    sink.setWriteListener(this::write);
                    sink.resumeWrites();
                    return;
                }
            }
            if (!finished) {
                sink.suspendWrites();
                progress = Progress.WRITTEN; // from here on it may have run
                onWritten.run();
            }
        } catch (IOException e) {
            finish(Status.BROKEN);
        }
    }

    /**
     * Takes what its connection has read into the pool's buffer.
     *
     * @param count the number of bytes, or {@link EndpointConnection#END_OF_STREAM}
     * @return whether the exchange no longer reads from that connection
     */
    boolean receive(int count) {
        if (progress == Progress.NOT_CONNECTED) {
            receivedBeforeSending();
            return true;
        }
        parse(count);
        if (response.isComplete()) {
            boolean reusable = isConnectionReusable(count);
            progress = Progress.ANSWERED;
            finish(reusable ? null : Status.ERROR);
        } else if (response.isMalformed()) {
            boolean responded = responseBegun || count > 0;
            finish(responded ? Status.ERROR : Status.BROKEN);
        } else if (!responseBegun) {
            responseBegun = true;
            setTimer(Math.min(answerBy, pool.io.clock.now() + RESPONSE_TIMEOUT_NS), Status.ERROR);
        }
        return finished;
    }

    /** A new connection that does so is broken; one that was idle has ended, and nothing was written on it yet. */
    private void receivedBeforeSending() {
        if (connecting != null) {
            finish(Status.BROKEN);
            return;
        }
        connection.close();
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

    /** Whether the response ended in order: with its last byte read, the request written, and nothing behind it. */
    private boolean isConnectionReusable(int count) {
        return count > 0
                && !pool.readBuffer.hasRemaining()
                && response.allowsReuse()
                && progress == Progress.WRITTEN
                && connection.isSilent();
    }

    /** What has arrived is read first: it may be the response. */
    private void giveUp(Status reason) {
        if (!finished && connection != null && progress == Progress.WRITTEN) {
            connection.readAvailable();
        }
        finish(reason);
    }

    /** Takes what was read after the exchange was given up; the counterpart of {@link #receive}. */
    void receiveLate(int count, EndpointConnection from) {
        parse(count);
        if (response.isComplete() || response.isMalformed()) {
            from.closeHalfClosed();
        }
        if (response.isComplete()) {
            onLateResult.accept(answered());
        }
    }

    /**
     * Ends the exchange, unless it has ended, and tells its result. A complete response is the result in any case.
     *
     * @param failure why the connection can't be used again, or why there is no response; null if neither
     */
    private void finish(Status failure) {
        if (finished) {
            return;
        }
        finished = true;
        if (timer != null) {
            timer.remove();
        }
        if (connection != null) {
            releaseConnection(failure);
        } else if (connecting != null) {
            connecting.cancel();
        }
        onResult.accept(
                progress == Progress.ANSWERED
                        ? answered()
                        : HttpResult.unanswered(progress, failure, response.statusCode()));
    }

    private HttpResult answered() {
        return new HttpResult(Progress.ANSWERED, null, response.statusCode(), response.headers(), response.body());
    }

    private void releaseConnection(Status failure) {
        connection.detach();
        boolean unused = failure == Status.NOT_STARTED && progress == Progress.NOT_CONNECTED;
        if (failure == null || unused) {
            pool.addIdle(endpoint, connection);
        } else if (!mayAnswerLate(failure) || !connection.halfClose(this)) {
            connection.close();
        }
    }

    private boolean mayAnswerLate(Status failure) {
        return onLateResult != null
                && progress == Progress.WRITTEN
                && (failure == Status.TIMED_OUT || failure == Status.ABANDONED);
    }
}
