package elderseam.core;

import static elderseam.logging.LogField.field;

import elderseam.logging.EventLogger;

/**
 * What responses on connections to endpoints tell besides the outcomes of attempts: waits, which bind whatever response
 * asks for them, and responses that are not as they should be. After a handover the successor gets the waits. Confined to
 * the event-loop thread.
 */
public final class EndpointResponses implements ResponseAnomalyListener, RetryAfterListener {
    private static final EventLogger LOG = EventLogger.of(EndpointResponses.class);

    private final Handover handover;
    private final PolicyFacade policy;
    private final Clock clock;
    private final Metrics metrics;

    EndpointResponses(Handover handover, PolicyFacade policy, Clock clock, Metrics metrics) {
        this.handover = handover;
        this.policy = policy;
        this.clock = clock;
        this.metrics = metrics;
    }

    @Override
    public void retryAfterReceived(String endpoint, long waitNs, boolean presumed) {
        metrics.retryAfterReceived(presumed);
        if (presumed) {
            LOG.info(
                    "endpoint.retry_after_presumed",
                    field("endpoint", endpoint),
                    field("wait_ms", waitNs / Clock.MILLISECOND_NS));
        }
        if (!handover.forwardRetryAfter(endpoint, waitNs)) {
            policy.retryAfterReceived(clock.now(), endpoint, waitNs);
        }
    }

    @Override
    public void unexpectedInputReceived() {
        metrics.unexpectedInputReceived();
    }

    @Override
    public void responseDiscarded() {
        metrics.responseDiscarded();
    }
}
