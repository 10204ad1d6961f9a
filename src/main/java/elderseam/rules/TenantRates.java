package elderseam.rules;

/**
 * Request rate of each tenant over a sliding window of {@value #SLICES} slices: the sum of the last {@value #SLICES}
 * slices, the current one included, so that a rate may be too low by one slice. Unknown tenants are counted together.
 * Times are nanoseconds of the dispatcher's clock; confined to the thread that evaluates rules.
 */
final class TenantRates {
    private static final int SLICES = 16;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private final long sliceNs;
    private final int[][]
            countsByTenant; // a ring of slices for each tenant; the last tenant stands for all unknown ones
    private final long[] latestSliceByTenant; // the number of the slice that was last brought up to date

    TenantRates(int tenantCount, int windowSeconds) {
        sliceNs = Math.max(1, windowSeconds * NANOS_PER_SECOND / SLICES);
        countsByTenant = new int[tenantCount + 1][SLICES];
        latestSliceByTenant = new long[tenantCount + 1];
    }

    /** Counts one request of a tenant. */
    void count(int tenantIndex, long nowNs) {
        currentCounts(tenantIndex, nowNs)[(int) (nowNs / sliceNs % SLICES)]++;
    }

    /** Returns the tenant's requests a second over the window. */
    double perSecond(int tenantIndex, long nowNs) {
        long total = 0;
        for (int count : currentCounts(tenantIndex, nowNs)) {
            total += count;
        }
        return total * (double) NANOS_PER_SECOND / (SLICES * sliceNs);
    }

    /** Takes over the counts of earlier rates, if they have the same window and as many tenants. */
    void inherit(TenantRates earlier) {
        if (earlier.sliceNs != sliceNs || earlier.countsByTenant.length != countsByTenant.length) {
            return;
        }
        for (int i = 0; i < countsByTenant.length; i++) {
            System.arraycopy(earlier.countsByTenant[i], 0, countsByTenant[i], 0, SLICES);
            latestSliceByTenant[i] = earlier.latestSliceByTenant[i];
        }
    }

    /** The tenant's ring, with the slices zeroed that have begun since it was last used. */
    private int[] currentCounts(int tenantIndex, long nowNs) {
        int unknown = countsByTenant.length - 1;
        int row = tenantIndex < 0 || tenantIndex >= unknown ? unknown : tenantIndex;
        long current = nowNs / sliceNs;
        long latest = latestSliceByTenant[row];
        if (current > latest) {
            for (long slice = Math.max(latest + 1, current - SLICES + 1); slice <= current; slice++) {
                countsByTenant[row][(int) (slice % SLICES)] = 0;
            }
            latestSliceByTenant[row] = current;
        }
        return countsByTenant[row];
    }
}
