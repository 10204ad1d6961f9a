package elderseam.policy;

/** Counts received and lost answers over all destinations. Not thread-safe. */
final class AnswerLoss {
    private final RollingWindow window = new RollingWindow();
    /** Whether the share of lost answers was too high at the last check, in the last turn. */
    boolean detected;

    /** Received and lost answers in the window. */
    int answers() {
        return window.calls();
    }

    int lostAnswers() {
        return window.failures();
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

    void transfer(SnapshotCursor snapshot) {
        window.transfer(snapshot);
    }
}
