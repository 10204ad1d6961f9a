package elderseam.gossip;

/** Counts dropped items by reason. Confined to one thread. */
public final class DropCounters<R extends Enum<R>> {
    private final long[] counts;

    /** Creates a counter, initially 0, for each constant of {@code reasons}. */
    public DropCounters(Class<R> reasons) {
        this.counts = new long[reasons.getEnumConstants().length];
    }

    public void increment(R reason) {
        counts[reason.ordinal()]++;
    }

    /** Returns how many items were dropped for the reason. */
    public long count(R reason) {
        return counts[reason.ordinal()];
    }
}
