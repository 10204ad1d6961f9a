package elderseam.policy;

/** The states of a circuit breaker. */
public enum BreakerState {
    /** Calls are allowed. */
    CLOSED(0),
    /** A single trial call is allowed. */
    HALF_OPEN(2),
    /** No call is allowed until the sleep window ends. */
    OPEN(1);

    private static final BreakerState[] BY_SNAPSHOT_CODE = {CLOSED, OPEN, HALF_OPEN};

    private final int snapshotCode;

    BreakerState(int snapshotCode) {
        this.snapshotCode = snapshotCode;
    }

    /** The number of this state in the snapshot format; it must never change. */
    int snapshotCode() {
        return snapshotCode;
    }

    static BreakerState ofSnapshotCode(long code) {
        return BY_SNAPSHOT_CODE[(int) code];
    }
}
