package elderseam.gossip;

/**
 * Lifeguard's Local Health Multiplier (section IV-A): a member whose own probes fail, or that gets no answer from the
 * members it asked to probe indirectly, assumes that it is itself slow, and extends its probe intervals and timeouts.
 */
final class LocalHealth {
    private final int maxScore;
    private int score; // 0 means healthy

    /** Creates a healthy score of 0; if {@code timings} disable Lifeguard, it always remains 0. */
    LocalHealth(GossipTimings timings) {
        this.maxScore = timings.lifeguard() ? timings.maxLocalHealth() : 0;
    }

    /**
     * Adds {@code delta} to the score: positive for evidence that this member is slow, negative for evidence that it is
     * not.
     */
    void add(int delta) {
        score = Math.max(0, Math.min(maxScore, score + delta));
    }

    /** Returns the factor by which probe intervals and timeouts are multiplied. */
    long multiplier() {
        return 1L + score;
    }
}
