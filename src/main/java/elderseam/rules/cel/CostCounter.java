package elderseam.rules.cel;

/** What an evaluation has cost so far, and may. */
final class CostCounter {
    private final long most;
    private long count;

    CostCounter(long most) {
        this.most = most;
    }

    void count(long units) {
        count = ValueSize.add(count, units);
    }

    boolean over() {
        return count > most;
    }

    long count() {
        return count;
    }
}
