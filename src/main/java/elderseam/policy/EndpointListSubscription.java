package elderseam.policy;

/** Subscribes to updates of the endpoint list if the settings require it, and resubscribes after a failure. */
final class EndpointListSubscription {
    /** First backoff after a failure, before jitter; it doubles up to three times. */
    private static final long FIRST_BACKOFF_NS = 500_000_000L;

    private static final int MAX_DOUBLINGS = 3;

    private final PolicyContext context;
    private boolean subscribed;
    private int failures;
    private long subscribeAt;

    EndpointListSubscription(PolicyContext context) {
        this.context = context;
    }

    /** Schedules the subscription for the current turn; called at the first event. */
    void start(long now) {
        subscribeAt = now;
    }

    void onUpdate(ListUpdateKind kind) {
        if (kind != ListUpdateKind.CACHED) {
            failures = 0;
        }
    }

    void onFailure(long now) {
        subscribed = false;
        double backoffNs = FIRST_BACKOFF_NS * (double) (1 << Math.min(MAX_DOUBLINGS, failures++));
        subscribeAt = now + (long) (backoffNs * context.jitter());
    }

    /** Subscribes if a subscription is due. */
    void tick(long now) {
        if (isWanted() && now >= subscribeAt) {
            subscribed = true;
            context.actions.subscribe();
        }
    }

    /** Requests a turn for the time at which the subscription is due. */
    void scheduleTurn() {
        if (isWanted()) {
            context.requestTurnAt(subscribeAt);
        }
    }

    private boolean isWanted() {
        return context.settings.subscribes() && !subscribed;
    }
}
