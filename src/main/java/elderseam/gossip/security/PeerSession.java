package elderseam.gossip.security;

import elderseam.gossip.TokenBucket;
import java.util.random.RandomGenerator;

/** This member's state for one peer: the tokens for both directions, the sequence numbers and the rate limits. */
final class PeerSession {
    private static final double MAX_VERIFICATIONS_PER_SECOND = 50;
    private static final double MAX_HELLOS_PER_SECOND = 2;
    /**
     * High bits that are cleared in the random initial sequence number, so that it is positive and can't overflow soon.
     */
    private static final int SEQUENCE_HEADROOM_BITS = 2;

    private static final long NO_TOKEN = 0;

    // sending
    private long peerToken = NO_TOKEN; // issued by the peer
    private long lastSentSequence;
    private long lastAnsweredSequence; // of the last envelope that a hello answered

    // receiving
    private long acceptedToken = NO_TOKEN;
    private long offeredToken = NO_TOKEN; // replaces acceptedToken on its first use
    private final ReplayWindow replayWindow = new ReplayWindow();
    private final TokenBucket verificationLimit;
    private final TokenBucket helloLimit;

    /**
     * Sequence numbers start at a random value, so that they can't be guessed and differ from those sent before a
     * restart.
     */
    PeerSession(RandomGenerator random, long nowNs) {
        this.lastSentSequence = random.nextLong() >>> SEQUENCE_HEADROOM_BITS;
        this.verificationLimit = new TokenBucket(MAX_VERIFICATIONS_PER_SECOND, 2 * MAX_VERIFICATIONS_PER_SECOND, nowNs);
        this.helloLimit = new TokenBucket(MAX_HELLOS_PER_SECOND, MAX_HELLOS_PER_SECOND, nowNs);
    }

    // ---------------------------------------------------------------- sending

    long nextSequence() {
        lastSentSequence++;
        return lastSentSequence;
    }

    /** Returns the token that the peer has issued, 0 if none. */
    long peerToken() {
        return peerToken;
    }

    boolean hasPeerToken() {
        return peerToken != NO_TOKEN;
    }

    void setPeerToken(long token) {
        peerToken = token;
    }

    /**
     * Whether to accept a hello that answers the envelope with this token and sequence number: the envelope is among
     * the last {@link ReplayWindow#SIZE} sent, and no hello has answered it or a later one yet.
     */
    boolean awaitsHello(long token, long sequence) {
        return token == peerToken
                && sequence > lastAnsweredSequence
                && sequence <= lastSentSequence
                && sequence > lastSentSequence - ReplayWindow.SIZE;
    }

    void markAnswered(long sequence) {
        lastAnsweredSequence = sequence;
    }

    // ---------------------------------------------------------------- receiving

    /** Whether the token was offered to the peer and not used yet. */
    boolean isOffered(long token) {
        return token != NO_TOKEN && token == offeredToken;
    }

    /** Whether this is the token that the peer must currently use. */
    boolean isAccepted(long token) {
        return token != NO_TOKEN && token == acceptedToken;
    }

    /** Returns a new token for the peer to use; repeated calls return the same token until the peer has used it. */
    long offerToken(RandomGenerator random) {
        while (offeredToken == NO_TOKEN || offeredToken == acceptedToken) {
            offeredToken = random.nextLong();
        }
        return offeredToken;
    }

    /**
     * Called when the peer has used the offered token: makes it the accepted one and invalidates the previous token.
     */
    void acceptOfferedToken(long firstSequence) {
        acceptedToken = offeredToken;
        offeredToken = NO_TOKEN;
        replayWindow.reset(firstSequence);
    }

    ReplayWindow replayWindow() {
        return replayWindow;
    }

    boolean tryAcquireVerification(long nowNs) {
        return verificationLimit.tryAcquire(1, nowNs);
    }

    boolean tryAcquireHello(long nowNs) {
        return helloLimit.tryAcquire(1, nowNs);
    }
}
