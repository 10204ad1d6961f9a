package elderseam.policy;

/** Estimates whether the network loses answers, over all destinations: a rolling window of answers. Not thread-safe. */
final class AnswerLoss {
    private static final double MIN_LOST_SHARE = 0.05;
    private static final double MIN_LOST_ANSWERS = 3;

    private final RollingWindow window = new RollingWindow();
    /** Whether answers are getting lost at present, as of the last turn. */
    private boolean present;

    boolean isPresent() {
        return present;
    }

    void onAnswer() {
        window.count(false);
    }

    void onLostAnswer() {
        window.count(true);
    }

    void roll(long now) {
        window.roll(now);
    }

    /** Takes the estimate anew, once a turn. */
    void measure(long now) {
        window.roll(now);
        present = window.failures() >= MIN_LOST_ANSWERS && window.failures() >= MIN_LOST_SHARE * window.calls();
    }

    void transfer(SnapshotCursor snapshot) {
        window.transfer(snapshot);
    }
}
