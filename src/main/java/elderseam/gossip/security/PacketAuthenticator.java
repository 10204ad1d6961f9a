package elderseam.gossip.security;

import elderseam.gossip.MalformedPacketException;
import elderseam.gossip.Packet;
import elderseam.gossip.PacketCodec;
import elderseam.gossip.TokenBucket;
import java.net.InetAddress;
import java.nio.ByteBuffer;
import java.security.PublicKey;
import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Signs outgoing gossip packets and authenticates incoming ones. Dropped envelopes are counted by reason and by source.
 * The checks run from the cheapest to the most expensive, so that most invalid envelopes cost little: see {@link
 * EnvelopeDropReason}.
 *
 * <p>Tokens prevent replay, also of envelopes recorded before a restart. Each member issues a random token to each
 * other member, by a hello that answers the first envelope without the token. Every envelope carries the token that its
 * receiver has issued, and a sequence number. A restarted receiver has not issued any token yet, so it accepts no
 * envelope recorded before the restart. A restarted sender is issued a new token, and its first use invalidates the
 * earlier token. This needs neither synchronized clocks nor storage. A hello is accepted only once, and only if it
 * answers an envelope sent since this member started, which the token and the sequence number in the hello identify.
 *
 * <p>Limits: the roster bounds the number of sessions; 50 signatures are verified per second for each member and 400 in
 * total; 2 hellos are sent per second to each member and 50 in total. Not thread-safe; confined to one thread.
 */
public final class PacketAuthenticator {
    /** Placeholder name for the member at a seed's address until its real name is known. */
    public static final String UNKNOWN_MEMBER = "";

    private static final double MAX_VERIFICATIONS_PER_SECOND = 400;
    private static final double MAX_HELLOS_PER_SECOND = 50;

    private final String self;
    private final Keyring keyring;
    private final RandomGenerator random;
    private final Map<String, PeerSession> sessions = new HashMap<>();
    private final EnvelopeDropStatistics drops = new EnvelopeDropStatistics();
    private final TokenBucket verificationLimit;
    private final TokenBucket helloLimit;
    private final Envelope envelope = new Envelope(); // reused for each received envelope

    /** {@code random} must be unpredictable, since tokens and initial sequence numbers are drawn from it. */
    public PacketAuthenticator(String self, Keyring keyring, RandomGenerator random, long nowNs) {
        this.self = self;
        this.keyring = keyring;
        this.random = random;
        this.verificationLimit = new TokenBucket(MAX_VERIFICATIONS_PER_SECOND, MAX_VERIFICATIONS_PER_SECOND, nowNs);
        this.helloLimit = new TokenBucket(MAX_HELLOS_PER_SECOND, MAX_HELLOS_PER_SECOND, nowNs);
    }

    // ---------------------------------------------------------------- sending

    /**
     * Returns a signed envelope for a member; {@code to} may be {@link #UNKNOWN_MEMBER}. A receiver that has not issued
     * a token to this member answers with a hello.
     */
    public byte[] sign(String to, byte[] body, long wallMs, long nowNs) {
        PeerSession session = session(to, nowNs);
        return Envelope.createSigned(
                Envelope.DATA, self, keyring, session.peerToken(), session.nextSequence(), wallMs, body);
    }

    /** Whether the member has issued a token to this one; without it the member only answers envelopes with a hello. */
    public boolean hasToken(String to) {
        PeerSession session = sessions.get(to);
        return session != null && session.hasPeerToken();
    }

    private PeerSession session(String member, long nowNs) {
        return sessions.computeIfAbsent(member, name -> new PeerSession(random, nowNs));
    }

    // ---------------------------------------------------------------- receiving

    /**
     * Authenticates a received envelope and decodes its packet.
     *
     * @param from the source address
     * @param received the envelope in the first {@code length} bytes; may be reused once this method has returned
     * @param maxBytes the largest envelope that is allowed on this transport
     * @param wallMs this member's wall clock in milliseconds, written into a hello
     */
    public OpenResult open(InetAddress from, byte[] received, int length, int maxBytes, long wallMs, long nowNs) {
        if (length > maxBytes) {
            return drop(EnvelopeDropReason.OVERSIZED, from);
        }
        if (!envelope.read(received, length)) {
            return drop(EnvelopeDropReason.FORM, from);
        }
        String sender = envelope.sender();
        Roster.Entry entry = keyring.roster().get(sender);
        if (entry == null || sender.equals(self)) {
            return drop(EnvelopeDropReason.UNKNOWN_SENDER, from);
        }
        if (!entry.isAddressAllowed(AddressRanges.of(from))) {
            return drop(EnvelopeDropReason.ADDRESS, from);
        }
        PublicKey key = entry.findKey(envelope.keyId());
        if (key == null) {
            return drop(EnvelopeDropReason.UNKNOWN_KEY, from);
        }
        PeerSession session = session(sender, nowNs);
        return envelope.isHello() ? openHello(session, key, from, nowNs) : openData(session, key, from, wallMs, nowNs);
    }

    private OpenResult openData(PeerSession session, PublicKey key, InetAddress from, long wallMs, long nowNs) {
        long sequence = envelope.sequence();
        boolean isOffered = session.isOffered(envelope.token());
        if (!isOffered && !session.isAccepted(envelope.token())) {
            return offerToken(session, from, wallMs, nowNs);
        }
        if (!isOffered && !session.replayWindow().isNew(sequence)) {
            return drop(EnvelopeDropReason.REPLAYED, from);
        }
        if (!verifySignature(session, key, from, nowNs)) {
            return OpenResult.Dropped.INSTANCE;
        }
        if (isOffered) {
            session.acceptOfferedToken(sequence);
        }
        session.replayWindow().markReceived(sequence);
        return decode(from);
    }

    private OpenResult decode(InetAddress from) {
        try {
            Packet packet = PacketCodec.decode(envelope.body());
            return new OpenResult.Opened(envelope.sender(), packet, envelope.senderWallMs());
        } catch (MalformedPacketException e) {
            return drop(EnvelopeDropReason.BODY, from);
        }
    }

    /**
     * Answers with a hello, whose body has a small fixed size, at a limited rate. This bounds traffic amplification.
     */
    private OpenResult offerToken(PeerSession session, InetAddress from, long wallMs, long nowNs) {
        drops.increment(EnvelopeDropReason.TOKEN, from);
        if (!session.tryAcquireHello(nowNs) || !helloLimit.tryAcquire(1, nowNs)) {
            return OpenResult.Dropped.INSTANCE;
        }
        byte[] body = Envelope.helloBody(session.offerToken(random), envelope.token(), envelope.sequence());
        return new OpenResult.TokenOffered(Envelope.createSigned(Envelope.HELLO, self, keyring, 0, 0, wallMs, body));
    }

    /** Accepts a hello that answers an envelope sent to its sender, or to a seed whose name was not known yet. */
    private OpenResult openHello(PeerSession session, PublicKey key, InetAddress from, long nowNs) {
        ByteBuffer body = envelope.body();
        if (body.remaining() != Envelope.HELLO_BODY_BYTES) {
            return drop(EnvelopeDropReason.FORM, from);
        }
        long offeredToken = body.getLong();
        long answeredToken = body.getLong();
        long answeredSequence = body.getLong();
        PeerSession answeredSession = findAnsweredSession(session, answeredToken, answeredSequence);
        if (answeredSession == null || offeredToken == 0) {
            return drop(EnvelopeDropReason.HELLO, from);
        }
        if (!verifySignature(session, key, from, nowNs)) {
            return OpenResult.Dropped.INSTANCE;
        }
        answeredSession.markAnswered(answeredSequence);
        session.setPeerToken(offeredToken);
        return new OpenResult.HelloAccepted(envelope.sender());
    }

    /**
     * Returns the session that sent the answered envelope: the hello sender's, the one for unknown members, or null.
     */
    private PeerSession findAnsweredSession(PeerSession senderSession, long answeredToken, long answeredSequence) {
        if (senderSession.awaitsHello(answeredToken, answeredSequence)) {
            return senderSession;
        }
        PeerSession seedSession = sessions.get(UNKNOWN_MEMBER);
        boolean isFromSeed = seedSession != null && seedSession.awaitsHello(answeredToken, answeredSequence);
        return isFromSeed ? seedSession : null;
    }

    private boolean verifySignature(PeerSession session, PublicKey key, InetAddress from, long nowNs) {
        if (!session.tryAcquireVerification(nowNs) || !verificationLimit.tryAcquire(1, nowNs)) {
            drops.increment(EnvelopeDropReason.RATE, from);
            return false;
        }
        if (!envelope.isSignedBy(key)) {
            drops.increment(EnvelopeDropReason.SIGNATURE, from);
            return false;
        }
        return true;
    }

    private OpenResult drop(EnvelopeDropReason reason, InetAddress from) {
        drops.increment(reason, from);
        return OpenResult.Dropped.INSTANCE;
    }

    // ---------------------------------------------------------------- removal and statistics

    /** Discards the session of a member that was removed from the roster. */
    public void remove(String member) {
        sessions.remove(member);
    }

    /** Returns how many envelopes were dropped for the given reason. */
    public long dropCount(EnvelopeDropReason reason) {
        return drops.count(reason);
    }

    /** Returns how many envelopes from the source were dropped; 0 also if the source was evicted. */
    long dropCountFrom(InetAddress source) {
        return drops.countFrom(source);
    }

    /** Returns for how many sources dropped envelopes are counted. */
    int trackedSourceCount() {
        return drops.sourceCount();
    }
}
