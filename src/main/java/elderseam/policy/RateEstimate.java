package elderseam.policy;

/**
 * Estimates of the call rate that one endpoint group can serve, in calls per second. Confined to the policy's thread.
 */
final class RateEstimate {
    private static final double DECAY_PER_BUCKET = 0.99;
    /** Factor by which a rough weight may differ from the actual capacity. */
    private static final double ROUGH_WEIGHT_ERROR = 1.5;
    /** Assumed capacity of a destination without a known rate. */
    static final double UNKNOWN_RATE = 3;

    private final PolicyContext context;
    private final RollingWindow window;
    /** Rate for all senders together, from the endpoint list or from reports in answers; 0 if unknown. */
    double advertisedRate;
    /** The highest recent rate of this sender while the group serves calls; it decays slowly. */
    double typicalRate;

    RateEstimate(PolicyContext context, RollingWindow window) {
        this.context = context;
        this.window = window;
    }

    /**
     * Updates the typical rate after the window has moved while the group served calls. The number of calls is reduced
     * by its square root, the standard deviation of a Poisson count, so that chance does not raise the rate.
     */
    void updateTypicalRate(int bucketsMoved) {
        double calls = window.calls();
        double observed = (calls - Math.sqrt(calls)) / RollingWindow.BUCKETS;
        typicalRate = Math.max(typicalRate * Math.pow(DECAY_PER_BUCKET, bucketsMoved), observed);
    }

    /** The typical rate, or the rate of delivered calls in the window if that is higher. */
    double currentRate() {
        double delivered = (double) (window.calls() - window.failures()) / RollingWindow.BUCKETS;
        return Math.max(typicalRate, delivered);
    }

    /** This sender's share of the advertised rate. */
    double fairShare() {
        return advertisedRate / context.senderCount;
    }

    /** Whether there are more senders than a cold destination can serve with one call each in a sleep window. */
    boolean isContended() {
        return contention(0) > 1;
    }

    /**
     * Ratio of the number of senders to the number of calls that a cold destination can serve in a sleep window, at
     * least 1.
     *
     * @param returningSenders number of senders expected to call, used if it is higher than the configured number
     */
    double contention(double returningSenders) {
        PolicySettings settings = context.settings;
        double coldCapacity = settings.coldRateRatio()
                * settings.overloadMultiple()
                * warmRate()
                * CircuitBreaker.SLEEP_WINDOW_NS
                / PolicyContext.SECOND_NS;
        return Math.max(1, Math.max(context.senderCount, returningSenders) / coldCapacity);
    }

    /** A lower bound of the rate for all senders that a warm destination can serve. */
    private double warmRate() {
        if (context.settings.weightPrecision() == WeightPrecision.EXACT && advertisedRate > 0) {
            return advertisedRate;
        }
        double rate = advertisedRate > 0 ? advertisedRate / ROUGH_WEIGHT_ERROR : UNKNOWN_RATE;
        return Math.max(rate, typicalRate * context.senderCount);
    }
}
