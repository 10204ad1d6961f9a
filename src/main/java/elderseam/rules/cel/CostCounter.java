package elderseam.rules.cel;

/** The cost of an evaluation so far, and the most that it may reach. Confined to one thread. */
final class CostCounter {
    private final long budget;
    private long cost;

    CostCounter(long budget) {
        this.budget = budget;
    }

    /** Adds units to the cost, also beyond the budget. */
    void charge(long units) {
        cost = ValueSize.add(cost, units);
    }

    boolean isOverBudget() {
        return cost > budget;
    }

    long cost() {
        return cost;
    }
}
