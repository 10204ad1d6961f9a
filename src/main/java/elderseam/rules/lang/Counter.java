package elderseam.rules.lang;

/** What an evaluation has cost so far, and may. */
final class Counter {
    private final long most;
    private long count;

    Counter(long most) {
        this.most = most;
    }

    void count(long units) {
        count = Size.add(count, units);
    }

    boolean over() {
        return count > most;
    }

    long count() {
        return count;
    }
}
