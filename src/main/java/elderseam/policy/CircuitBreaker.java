package elderseam.policy;

/**
 * Circuit breaker of one endpoint group. While it is closed, the ticket pool limits the calls. After a trip it is
 * open for a sleep window, in which requests wait. It is then half-open: the result of a single trial call closes it
 * or opens it again. It trips on the share of failures in the rolling window, on consecutive failures (small senders
 * make too few calls for a share), on calls that hang, and on a long Retry-After. Times are nanoseconds of the host's
 * clock; confined to the policy's thread.
 */
final class CircuitBreaker {
    static final long SLEEP_WINDOW_NS = 2_000_000_000L; // first sleep window, before jitter
    static final double OUTAGE_MULTIPLE = 2; // times the outage so far is added to the sleep window
    private static final int MIN_CALLS_TO_TRIP = 20;
    private static final int MIN_CALLS_REDUCTION = 12; // reduction of the minimum at full suspicion
    private static final double FAILURE_SHARE_TO_TRIP = 0.5;
    private static final int CONSECUTIVE_FAILURES_TO_TRIP = 4;
    private static final int CONSECUTIVE_FAILURES_REDUCTION = 2; // reduction of the limit at full suspicion
    private static final double FAILURE_EWMA_WEIGHT = 0.3;

    private final String name;
    private final PolicyContext context;
    private final RateController rate;
    private final RollingWindow window;
    BreakerState state = BreakerState.CLOSED;
    AttemptRecord trial; // the trial call in flight while half-open, else null
    boolean openedByHang; // opened because calls got no answer, so any answer closes it
    long openUntil;
    long outageStart; // first trip since the breaker was last closed; 0 while closed
    int consecutiveFailures;
    long consecutiveFailuresSince;
    double failureRateEwma;
    double suspicion; // 0 to 1, from other senders' reports: higher values lower the trip limits
    double returningSenders; // senders expected to call the destination when it recovers

    CircuitBreaker(String name, PolicyContext context, RateController rate, RollingWindow window) {
        this.name = name;
        this.context = context;
        this.rate = rate;
        this.window = window;
    }

    boolean isClosed() {
        return state == BreakerState.CLOSED;
    }

    boolean isHalfOpen() {
        return state == BreakerState.HALF_OPEN;
    }

    /** Whether the sleep window is running, in which no call is allowed. */
    boolean isSleeping(long now) {
        return state == BreakerState.OPEN && now < openUntil;
    }

    /** Changes to half-open once the sleep window has ended. */
    void tick(long now) {
        if (state == BreakerState.OPEN && now >= openUntil) {
            state = BreakerState.HALF_OPEN;
        }
    }

    /** Records a delivered call. */
    void onSuccess(AttemptRecord call, long now) {
        boolean recovered = consecutiveFailures >= 2 && now - consecutiveFailuresSince > RollingWindow.BUCKET_NS;
        updateFailureRate(0);
        consecutiveFailures = 0;
        if ((isHalfOpen() && call == trial) || (!isClosed() && openedByHang)) {
            close(now);
        } else if (recovered && isClosed() && !rate.warmingUp) {
            rate.warmUp(now);
        }
    }

    /**
     * Counts a failure that is attributed to the destination; {@link #evaluate} decides whether it trips the breaker.
     * While most of the last calls failed, a destination that many senders share gets a slow start, even if the calls
     * are too few for the share of failures to trip.
     *
     * @param cancelled whether the call was cancelled; it then counts in the failure shares but not as a consecutive
     *     failure, since {@link #onHang} handles calls without an answer
     */
    void onFailure(boolean cancelled, long now) {
        updateFailureRate(1);
        if (failureRateEwma >= FAILURE_SHARE_TO_TRIP && rate.estimate.isContended() && isClosed()) {
            rate.warmUp(now);
            rate.tokens = 0; // the first call waits for a token too
        }
        consecutiveFailuresSince = consecutiveFailures == 0 ? now : consecutiveFailuresSince;
        consecutiveFailures += cancelled ? 0 : 1;
    }

    private void updateFailureRate(double sample) {
        failureRateEwma += FAILURE_EWMA_WEIGHT * (sample - failureRateEwma);
    }

    /** Trips the breaker if the failures, of which {@code newest} is the last result, reach a limit. */
    void evaluate(AttemptRecord call, AttemptResult newest, long now) {
        if (isHalfOpen() && call == trial) {
            trip(now, "trial " + newest);
        } else if (isClosed()) {
            double minCalls = MIN_CALLS_TO_TRIP - MIN_CALLS_REDUCTION * suspicion;
            long minConsecutiveFailures =
                    CONSECUTIVE_FAILURES_TO_TRIP - Math.round(CONSECUTIVE_FAILURES_REDUCTION * suspicion);
            if (window.calls() >= minCalls && window.failures() >= FAILURE_SHARE_TO_TRIP * window.calls()) {
                trip(now, window.failures() + " of " + window.calls() + " failed");
            } else if (consecutiveFailures >= minConsecutiveFailures) {
                trip(now, consecutiveFailures + " failures in a row, last " + newest);
            }
        }
    }

    /** Trips the breaker if the destination sent a Retry-After longer than a sleep window. */
    void onRetryAfter(long waitNs, long now) {
        if (waitNs > SLEEP_WINDOW_NS && isClosed()) {
            trip(now, "Retry-After of " + waitNs / 1_000_000 + " ms");
        }
    }

    /** Trips the breaker because calls got no answer. */
    void onHang(int overdueCalls, long now) {
        openedByHang = true;
        trip(now, "hung calls: " + overdueCalls);
    }

    private void trip(long now, String cause) {
        state = BreakerState.OPEN;
        trial = null;
        outageStart = outageStart == 0 ? now : outageStart;
        openUntil = Math.max(now + sleepWindowNs(now), rate.retryAfterUntil);
        context.actions.breakerOpened(name, cause);
    }

    /**
     * Returns the length of the sleep window. If the trial calls of all senders together would overload a cold
     * destination, the window grows with the outage, which bounds the total rate of trial calls for any number of
     * senders. The cost is that the return to service is detected later, by at most twice the outage.
     */
    private long sleepWindowNs(long now) {
        double byOutage = SLEEP_WINDOW_NS + OUTAGE_MULTIPLE * (now - outageStart);
        double longest = SLEEP_WINDOW_NS * rate.estimate.contention(returningSenders);
        return (long) (Math.min(byOutage, longest) * context.jitter());
    }

    private void close(long now) {
        state = BreakerState.CLOSED;
        trial = null;
        openedByHang = false;
        outageStart = 0;
        consecutiveFailures = 0;
        window.clear();
        rate.warmUp(now);
        context.actions.breakerClosed(name);
    }
}
