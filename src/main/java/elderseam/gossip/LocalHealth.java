package elderseam.gossip;

/**
 * Lifeguard's Local Health Multiplier (section IV-A): a member whose own probes fail, or whose helpers stay silent, takes
 * itself to be the slow one, and probes more slowly.
 */
final class LocalHealth {
    private final int maxScore;
    private int score; // 0: healthy

    /** Without Lifeguard the score stays 0. */
    LocalHealth(GossipTimings timings) {
        this.maxScore = timings.lifeguard() ? timings.maxLocalHealth() : 0;
    }

    /** Adds to the score: above 0 for a sign that this member is slow, below for one that it is not. */
    void add(int delta) {
        score = Math.max(0, Math.min(maxScore, score + delta));
    }

    /** Returns the factor by which intervals and timeouts of probes are longer. */
    long multiplier() {
        return 1L + score;
    }
}
