package elderseam.app;

import elderseam.core.Clock;
import elderseam.core.RequestDispatcher;
import elderseam.policy.BreakerView;
import elderseam.policy.PolicySettings;
import elderseam.rules.RuleEnvironment;
import java.util.HashMap;
import java.util.Map;

/**
 * The state of the running dispatcher, for rules that ask. Breakers are read from the policy at most once in {@link
 * #MAX_AGE_NS}. Confined to the I/O thread.
 */
final class DispatcherRuleEnvironment implements RuleEnvironment {
    private static final long MAX_AGE_NS = 50 * Clock.MILLISECOND_NS;

    /** Before any reading of the clock, and still not so far that a difference overflows. */
    private static final long NEVER_NS = Long.MIN_VALUE / 2;

    private final Clock clock;
    private final RequestDispatcher dispatcher;
    private final PolicySettings policySettings;
    private final Map<Long, BreakerView> breakers = new HashMap<>();
    private long breakersReadNs = NEVER_NS;

    DispatcherRuleEnvironment(Clock clock, RequestDispatcher dispatcher, PolicySettings policySettings) {
        this.clock = clock;
        this.dispatcher = dispatcher;
        this.policySettings = policySettings;
    }

    /** The destination's breaker; null where nothing is known of it. */
    private BreakerView find(long destination) {
        long nowNs = clock.now();
        if (nowNs - breakersReadNs > MAX_AGE_NS) {
            breakersReadNs = nowNs;
            breakers.clear();
            dispatcher.forEachBreaker(breakers::put);
        }
        return breakers.get(destination);
    }

    @Override
    public Breaker breaker(long destination) {
        BreakerView breaker = find(destination);
        if (breaker == null) {
            return Breaker.CLOSED;
        }
        return switch (breaker.state()) {
            case CLOSED -> Breaker.CLOSED;
            case HALF_OPEN -> Breaker.HALF_OPEN;
            case OPEN -> Breaker.OPEN;
        };
    }

    @Override
    public long retryAfterNs(long destination) {
        BreakerView breaker = find(destination);
        return breaker == null ? 0 : Math.max(0, breaker.waitNs());
    }

    @Override
    public int attemptsInFlight(long destination) {
        return dispatcher.attemptsInFlight(destination);
    }

    @Override
    public int requestsHeld() {
        return dispatcher.requestsInFlight();
    }

    @Override
    public double tenantQuota(int tenant) {
        if (tenant < 0 || tenant >= policySettings.tenantRates().size()) {
            return 0;
        }
        return policySettings.tenantRates().get(tenant) / Math.max(1, policySettings.senderCount());
    }
}
