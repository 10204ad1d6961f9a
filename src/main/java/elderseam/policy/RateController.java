package elderseam.policy;

/**
 * Controls the rate of calls to one endpoint group. A token bucket limits the calls to a pacing rate, which is cut when
 * the destination answers that it is full and grows while it is used. A slow start follows an outage, backoff grows
 * with the number of senders, and a Retry-After is honored exactly. Rates are in calls per second, times in nanoseconds
 * of the host's clock; confined to the policy's thread.
 */
final class RateController {
    private static final long FIRST_BACKOFF_NS =
            200_000_000L; // after "full" without a Retry-After; it doubles each time
    private static final long MAX_BACKOFF_NS = 1_600_000_000L;
    private static final double MAX_BACKOFF_GROWTH = 30; // maximum growth of the next backoff by contention
    private static final double MAX_CONTENTION = 30; // maximum multiple of the first backoff
    private static final double MAX_CONTENTION_AT_LIMIT = 5; // the same without recent failures
    private static final double CUT_FACTOR = 0.88; // share of the pacing rate that remains after "full"
    private static final double CUT_FOR_BATCH_ROOM = 0.3; // further cut if the call's batch was empty
    private static final double MIN_PACING_RATE = 0.3;
    private static final double GROWTH_PER_S = 0.15; // exponential growth of a pacing rate in use
    private static final double REGROWTH_PER_S = 1.5; // growth if the advertised limit rose since the last cut
    private static final double RISEN_LIMIT_RATIO =
            1.5; // minimum ratio of the advertised limit to its value at the cut
    private static final double AMPLE_HEADROOM = 0.5; // unused share of the advertised limit
    private static final double SCARCE_HEADROOM = 0.1;
    private static final double BURST_S = 0.5; // maximum burst, in seconds of the pacing rate
    private static final double COLD_MARGIN =
            1.25; // safety margin below the multiple at which a cold destination fails

    final RateEstimate estimate;
    private final PolicyContext context;
    private final int batchSize;

    double advertisedRateAtCut; // advertised rate at the last cut of the pacing rate
    double pacingRate = Double.POSITIVE_INFINITY;
    double tokens = 1;
    long refilledAt;
    long backoffUntil; // end of the backoff; no ticket before
    long backoffNs; // length of the last backoff; 0 after a success
    long retryAfterUntil; // end of a Retry-After; no ticket before
    long lastCutAt;
    long lastFullAt;
    long lastFailureAt; // failures other than "full"
    long warmUpStart;
    boolean warmingUp;
    boolean limitReported; // whether the destination reports its limit with its answers
    boolean ampleHeadroom; // whether the last report showed ample unused capacity

    RateController(PolicyContext context, RateEstimate estimate, int batchSize, long now) {
        this.context = context;
        this.estimate = estimate;
        this.batchSize = batchSize;
        this.refilledAt = now;
        this.lastCutAt = now - RollingWindow.LENGTH_NS;
        this.lastFullAt = lastCutAt;
        this.lastFailureAt = now - context.settings.warmUpNs();
    }

    /** The rate that a group can serve that has been warming up since {@code since}. */
    double slowStartRate(long now, long since) {
        PolicySettings settings = context.settings;
        double base = Math.max(estimate.typicalRate, estimate.fairShare());
        base = base > 0 ? base : RateEstimate.UNKNOWN_RATE / context.senderCount;
        base *= Math.max(1, settings.overloadMultiple() / COLD_MARGIN);
        double warmedUpShare = Math.min(1, (double) (now - since) / Math.max(1, settings.warmUpNs()));
        return base * (settings.coldRateRatio() + (1 - settings.coldRateRatio()) * warmedUpShare);
    }

    /** Returns the current rate; ends the slow start once its time is over. */
    private double currentRate(long now) {
        if (warmingUp && now - warmUpStart >= context.settings.warmUpNs()) {
            warmingUp = false;
        }
        return warmingUp ? Math.min(pacingRate, slowStartRate(now, warmUpStart)) : pacingRate;
    }

    /** Adds the tokens for the time since the last refill and raises a pacing rate that is in use. */
    void refill(long now) {
        double rate = currentRate(now);
        double elapsedS = (now - refilledAt) / 1e9;
        refilledAt = now;
        if (tokens < 1 && now - lastFullAt > RollingWindow.BUCKET_NS && !warmingUp) {
            boolean limitRose = ampleHeadroom && estimate.advertisedRate > RISEN_LIMIT_RATIO * advertisedRateAtCut;
            pacingRate = limitRose && pacingRate < estimate.fairShare()
                    ? Math.min(estimate.fairShare(), pacingRate * Math.exp(REGROWTH_PER_S * elapsedS))
                    : pacingRate * Math.exp(GROWTH_PER_S * elapsedS);
        }
        double burst = Math.max(1, warmingUp ? 1 : rate * BURST_S);
        tokens = Double.isInfinite(rate) ? 1 : Math.min(burst, tokens + rate * elapsedS);
        if (now - lastFullAt > RollingWindow.LENGTH_NS && !Double.isInfinite(pacingRate) && tokens > 1) {
            pacingRate = Double.POSITIVE_INFINITY;
        }
    }

    boolean hasToken() {
        return tokens >= 1;
    }

    void consumeToken(long now) {
        tokens = Double.isInfinite(currentRate(now)) ? 1 : tokens - 1;
    }

    /** Whether a backoff or Retry-After is in effect. */
    boolean isPaused(long now) {
        return now < retryAfterUntil || now < backoffUntil;
    }

    /** The earliest start of a call at {@code from} or later; if {@code paced}, the call needs a token. */
    long availableAt(long from, boolean paced, long now) {
        long at = Math.max(retryAfterUntil, Math.max(backoffUntil, from));
        double rate = currentRate(now);
        if (!paced || hasToken() || rate <= 0) {
            return at;
        }
        return Math.max(at, now + (long) ((1 - tokens) / rate * 1e9) + 1);
    }

    /** Begins a slow start. The trials of many senders are spread in time, so each may begin with one call. */
    void warmUp(long now) {
        warmingUp = true;
        warmUpStart = now;
        refilledAt = now;
        tokens = estimate.isContended() ? 1 : 0;
    }

    void onSuccess() {
        backoffNs = 0;
    }

    void onRetryAfter(long waitNs, long now) {
        retryAfterUntil = Math.max(retryAfterUntil, now + waitNs);
    }

    /** Starts a backoff and cuts the pacing rate after a "full" answer with a Retry-After of {@code waitNs}, or 0. */
    void onFull(AttemptRecord call, long waitNs, long now) {
        lastFullAt = now;
        backOff(waitNs, now);
        onRetryAfter(waitNs, now);
        if (call.start < lastCutAt) {
            return; // it began before the last cut took effect
        }
        double observed = Math.max(1, Math.max(estimate.currentRate(), estimate.fairShare()));
        double rateBeforeCut = Double.isInfinite(pacingRate) ? observed : pacingRate;
        // fuller batches carry the same number of requests in fewer calls
        double batchRoom = limitReported ? 0 : 1 - (double) call.requests.size() / batchSize;
        pacingRate = Math.max(MIN_PACING_RATE, (CUT_FACTOR - CUT_FOR_BATCH_ROOM * batchRoom) * rateBeforeCut);
        lastCutAt = now;
        tokens = Math.min(tokens, 0);
        advertisedRateAtCut = estimate.advertisedRate;
    }

    /** Starts a backoff after "full" or a failure, longer each time; {@code waitNs} is the Retry-After, or 0. */
    void backOff(long waitNs, long now) {
        double contention = estimate.contention(0);
        double limit = now - lastFailureAt < context.settings.warmUpNs() ? MAX_CONTENTION : MAX_CONTENTION_AT_LIMIT;
        double first = FIRST_BACKOFF_NS * Math.min(limit, contention);
        double next = backoffNs == 0 ? first : backoffNs * (1 + Math.min(MAX_BACKOFF_GROWTH, contention));
        backoffNs = (long) Math.min(MAX_BACKOFF_NS * contention, next);
        double spread = backoffNs * (0.5 + context.random.nextDouble()) * (waitNs > 0 ? 1 - 1 / contention : 1);
        if (waitNs > RollingWindow.BUCKET_NS && contention > 1) {
            // all senders probably got a Retry-After with the same end
            double longest =
                    Math.min(CircuitBreaker.SLEEP_WINDOW_NS * contention, CircuitBreaker.OUTAGE_MULTIPLE * waitNs);
            spread = context.random.nextDouble() * longest;
        }
        backoffUntil = Math.max(backoffUntil, now + waitNs + (long) spread);
    }

    /** Applies the limit that the destination reported with an answer, and how much of it is unused. */
    void onReport(LimitReport report, long now) {
        if (report.limitPerSecond() <= 0) {
            return;
        }
        estimate.advertisedRate = report.limitPerSecond();
        limitReported = true;
        ampleHeadroom = report.headroom() >= AMPLE_HEADROOM;
        if (report.headroom() < SCARCE_HEADROOM) {
            pacingRate = Math.min(pacingRate, Math.max(MIN_PACING_RATE, estimate.fairShare()));
            lastFullAt = now;
            advertisedRateAtCut = estimate.advertisedRate;
        }
    }
}
