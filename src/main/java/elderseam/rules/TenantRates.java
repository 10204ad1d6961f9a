package elderseam.rules;

/**
 * How many messages a second each tenant hands in, over a window cut into {@value #PARTS} parts: the rate is that of the last whole
 * window, the present part included, so it may be short by one part. Those of no known tenant count together.
 */
final class TenantRates {
    private static final int PARTS = 16;

    private final long partNs;
    private final int[][] counts;
    private final long[] parts; // the part that was counted last, by tenant

    TenantRates(int tenants, int windowS) {
        partNs = Math.max(1, windowS * 1_000_000_000L / PARTS);
        counts = new int[tenants + 1][PARTS];
        parts = new long[tenants + 1];
    }

    private int[] at(int tenant, long now) {
        int i = tenant < 0 || tenant >= counts.length - 1 ? counts.length - 1 : tenant;
        long part = now / partNs, past = part - parts[i];
        for (long p = Math.max(parts[i] + 1, part - PARTS + 1); past > 0 && p <= part; p++) {
            counts[i][(int) (p % PARTS)] = 0;
        }
        parts[i] = Math.max(part, parts[i]);
        return counts[i];
    }

    /** One more, at that time in ns. */
    void arrived(int tenant, long now) {
        at(tenant, now)[(int) (now / partNs % PARTS)]++;
    }

    /** Goes on with what an earlier one counted, where it counted alike. */
    void inherit(TenantRates old) {
        if (old.partNs == partNs && old.counts.length == counts.length) {
            for (int i = 0; i < counts.length; i++) {
                System.arraycopy(old.counts[i], 0, counts[i], 0, PARTS);
                parts[i] = old.parts[i];
            }
        }
    }

    double perSecond(int tenant, long now) {
        long all = 0;
        for (int n : at(tenant, now)) {
            all += n;
        }
        return all * 1e9 / (PARTS * partNs);
    }
}
