package elderseam.gossip;

/** How often something was dropped, by reason. One thread owns it. */
public final class DropCounters<R extends Enum<R>> {
    private final long[] counts;

    /** Starts at 0 for each constant of the enumeration. */
    public DropCounters(Class<R> reasons) {
        this.counts = new long[reasons.getEnumConstants().length];
    }

    /** Counts one more. */
    public void increment(R reason) {
        counts[reason.ordinal()]++;
    }

    /** Returns how often it was that reason. */
    public long count(R reason) {
        return counts[reason.ordinal()];
    }
}
