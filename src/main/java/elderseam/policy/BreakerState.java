package elderseam.policy;

/** The states of a circuit breaker. */
public enum BreakerState {
    /** Calls pass. */
    CLOSED(0),
    /** A single trial call passes. */
    HALF_OPEN(2),
    /** Nothing passes until the sleep window ends. */
    OPEN(1);

    private static final BreakerState[] BY_SNAPSHOT_CODE = {CLOSED, OPEN, HALF_OPEN};

    private final int snapshotCode;

    BreakerState(int snapshotCode) {
        this.snapshotCode = snapshotCode;
    }

    /** The number that stands for it in the snapshot; it never changes. */
    int snapshotCode() {
        return snapshotCode;
    }

    static BreakerState ofSnapshotCode(long code) {
        return BY_SNAPSHOT_CODE[(int) code];
    }
}
