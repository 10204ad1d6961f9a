package elderseam.policy;

import java.util.SplittableRandom;

/**
 * State shared by the components of one policy: settings, actions, random numbers, the time of the current event, the
 * pending requests and figures that span all destinations. Makes no decisions; confined to the policy's thread.
 */
final class PolicyContext {
    static final long SECOND_NS = 1_000_000_000L;
    /** The value of {@link #now} before the first event. */
    static final long NOT_STARTED = Long.MIN_VALUE;
    /** The timer resolution of hosts, which may round times to it; no timer is set for less. */
    static final long TICK_NS = 5_000_000L;

    final PolicySettings settings;
    final PolicyActions actions;
    /** The only source of random numbers. Its seed is fixed, so the order of the draws is part of the behaviour. */
    final SplittableRandom random;

    /** The longest time that a request may be pending: the longest deadline of all classes. */
    final long longestDeadlineNs;

    final RequestTable requests;
    final NetworkLatency latency;
    final AnswerLoss answerLoss = new AnswerLoss();
    /** Number of senders that share the destinations. */
    int senderCount;
    /** Retries allowed for each first attempt at a destination; 1 or more means no limit. */
    double retryRatio = 1;
    /** Number of calls in flight, over all destinations. */
    int inFlight;
    /** Time of the current event, in nanoseconds of the host's clock. */
    long now = NOT_STARTED;
    /** When the process ends; an attempt that is unlikely to be answered before is not started. */
    long shutdownAt = Long.MAX_VALUE;
    /** Number of turns so far. */
    long turn;
    /** The earliest time at which a turn is needed although no event occurs; reset in each turn. */
    long nextTurnAt = Long.MAX_VALUE;

    PolicyContext(PolicySettings settings, long seed, PolicyActions actions) {
        this.settings = settings;
        this.actions = actions;
        this.random = new SplittableRandom(seed);
        this.senderCount = settings.senderCount();
        this.longestDeadlineNs = settings.classes().stream()
                .mapToLong(requestClass -> requestClass.deadlineNs())
                .max()
                .orElse(0);
        this.latency = new NetworkLatency(settings);
        this.requests = new RequestTable(this);
    }

    /** Requests a turn at {@code time}; a time that is not in the future is ignored. */
    void requestTurnAt(long time) {
        if (time > now) {
            nextTurnAt = Math.min(nextTurnAt, time);
        }
    }

    /** A random factor from 0.75 to 1.25, so that waits of many senders do not end at the same time. */
    double jitter() {
        return 0.75 + 0.5 * random.nextDouble();
    }
}
