package elderseam.core;

import static elderseam.logging.LogField.field;

import elderseam.logging.EventLogger;

/** Logs state changes of the policy's circuit breakers. */
final class BreakerLog implements BreakerListener {
    private static final EventLogger LOG = EventLogger.of(BreakerLog.class);

    @Override
    public void opened(String breaker, String cause) {
        LOG.warn("breaker.opened", field("breaker", breaker), field("cause", cause));
    }

    @Override
    public void closed(String breaker) {
        LOG.info("breaker.closed", field("breaker", breaker));
    }
}
