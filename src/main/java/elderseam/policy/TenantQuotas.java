package elderseam.policy;

import java.util.ArrayList;
import java.util.List;

/** The remaining quota of each tenant, as token buckets in requests. Not thread-safe. */
final class TenantQuotas {
    private static final double INITIAL_QUOTA_S = 2; // quota available at start, in seconds of the rate
    private static final double MAX_ACCUMULATED_S = 5; // maximum unused quota, in seconds of the rate

    private final PolicySettings settings;
    /** One for each tenant, by its index. */
    private final List<TokenBucket> buckets = new ArrayList<>();

    TenantQuotas(PolicySettings settings) {
        this.settings = settings;
        for (double rate : settings.tenantRates()) {
            buckets.add(new TokenBucket(INITIAL_QUOTA_S * rate / settings.senderCount()));
        }
    }

    /** Starts to refill the quotas at the time of the first event. */
    void start(long now) {
        buckets.forEach(bucket -> bucket.refill(now, 0, Double.POSITIVE_INFINITY));
    }

    /** Consumes quota for a request; false if its tenant's quota is exhausted. An unknown tenant has no limit. */
    boolean tryConsume(long now, int tenant, int senderCount) {
        for (int i = 0; i < buckets.size(); i++) {
            double rate = settings.tenantRates().get(i) / senderCount;
            buckets.get(i).refill(now, rate, MAX_ACCUMULATED_S * rate);
        }
        return tenant < 0 || tenant >= buckets.size() || buckets.get(tenant).tryConsume();
    }

    void transfer(SnapshotCursor snapshot) {
        buckets.forEach(bucket -> bucket.transfer(snapshot));
    }
}
