package elderseam.gossip;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

/**
 * One member of the gossip protocol, without network I/O: its {@link Membership}, the health reports that it receives
 * and publishes, and its send limit. The caller passes in each received packet with the authenticated name of its
 * sender, and sends the packets that {@link #drainDatagrams} and {@link #drainStateExchanges} ask for.
 *
 * <p>Confined to one thread. {@code nowNs} never runs backwards; {@code wallMs} is the wall clock, and may be minutes
 * off.
 */
public final class GossipAgent {
    /** A datagram to be sent; the caller adds the envelope that authenticates it. */
    public record OutgoingDatagram(String to, String address, byte[] packet) {}

    /** Encoded size of the largest message, including the counts of updates and of reports that follow it. */
    private static final int MAX_MESSAGE_BYTES =
            1 + Long.BYTES + 1 + MemberNames.MAX_LENGTH + Short.BYTES + Short.BYTES;
    /**
     * How far ahead of the wall clock an incarnation reported by another member may be; one reported by the member
     * itself may be twice as far ahead. Incarnations start at the wall clock time. Without this bound a dishonest
     * member could raise another member's incarnation so far that no other member would accept the refutation.
     */
    private static final long MAX_INCARNATION_AHEAD_MS = TimeUnit.DAYS.toMillis(1);

    private final String self;
    private final int envelopeBytes;
    private final PeerVerifier verifier;
    private final SendRateLimiter sendLimiter;
    private final Membership membership;
    private final HealthReportExchange reports;
    private final DropCounters<DropReason> drops = new DropCounters<>(DropReason.class);

    /**
     * Creates an agent that begins to join the fleet at the first {@link #tick}.
     *
     * @param self this member; its address is announced to the other members
     * @param sendLimiter limits all datagrams, including those that the caller sends without this agent
     * @param verifier signs this member's health reports, and verifies those of the others
     * @param stateListener notified with the name and the new state of each other member whose state changes
     */
    public GossipAgent(
            LocalMember self,
            GossipTimings timings,
            SendRateLimiter sendLimiter,
            PeerVerifier verifier,
            long nowNs,
            SplittableRandom random,
            BiConsumer<String, MemberState> stateListener) {
        this.self = self.name();
        this.envelopeBytes = Packet.envelopeBytes(self.name());
        this.sendLimiter = sendLimiter;
        this.verifier = verifier;
        this.reports = new HealthReportExchange(self, verifier, drops, nowNs);
        this.membership = new Membership(self, timings, nowNs, random, stateListener, reports::hasQueued);
    }

    // ---------------------------------------------------------------- timers

    /** Returns when the next {@link #tick} is due; {@link Long#MAX_VALUE} after {@link #leave}. */
    public long nextTickNs() {
        return membership.nextTickNs();
    }

    /** Runs the probes, timeouts and rounds of gossip that are due. */
    public void tick(long nowNs) {
        membership.tick(nowNs);
    }

    /**
     * Publishes the health reports of this member's circuit breakers that are due, and reports advice on each
     * destination for which other members have current health reports. When the last of these has expired, reports
     * advice with all values 0 once. To be called several times a second.
     *
     * @param advice receives each destination with its advice
     */
    public void updateReports(List<OwnBreaker> ownBreakers, BiConsumer<Long, Advice> advice, long nowNs, long wallMs) {
        reports.update(ownBreakers, advice, nowNs, wallMs);
    }

    // ---------------------------------------------------------------- receiving

    /**
     * Handles a packet whose sender the caller has authenticated, and which is not a replay.
     *
     * @param senderWallMs the sender's wall clock when it sent the packet
     * @return the reply to be sent on the connection on which the packet arrived
     */
    public Optional<Packet> receive(String from, Packet packet, long nowNs, long wallMs, long senderWallMs) {
        reports.observeClock(from, senderWallMs, wallMs, nowNs);
        List<MembershipUpdate> allowed = allowedUpdates(from, packet.updates(), wallMs);
        for (SignedReport signed : packet.reports()) {
            reports.receive(from, signed, nowNs, wallMs);
        }
        if (packet.message() instanceof Message.FullState state) {
            membership.mergeFullState(allowed, nowNs);
            return state.isReply() ? Optional.empty() : Optional.of(fullState(true, nowNs));
        }
        for (MembershipUpdate update : allowed) {
            membership.apply(update, nowNs);
        }
        membership.receive(from, packet.message(), nowNs);
        return Optional.empty();
    }

    private List<MembershipUpdate> allowedUpdates(String from, List<MembershipUpdate> updates, long wallMs) {
        List<MembershipUpdate> allowed = new ArrayList<>(updates.size());
        for (MembershipUpdate update : updates) {
            if (isIncarnationAhead(update, from, wallMs)) {
                drops.increment(DropReason.INCARNATION_AHEAD);
            } else if (isOnRoster(update)) {
                allowed.add(update);
            } else {
                drops.increment(DropReason.UNKNOWN_MEMBER);
            }
        }
        return allowed;
    }

    private static boolean isIncarnationAhead(MembershipUpdate update, String from, long wallMs) {
        boolean isAboutSender = update.member().equals(from);
        long allowedMs = isAboutSender ? 2 * MAX_INCARNATION_AHEAD_MS : MAX_INCARNATION_AHEAD_MS;
        return update.incarnation() > wallMs + allowedMs;
    }

    private boolean isOnRoster(MembershipUpdate update) {
        return update.member().equals(self) || verifier.isAddressAllowed(update.member(), update.address());
    }

    // ---------------------------------------------------------------- sending

    /** Removes and returns the datagrams to be sent now; drops and counts those that exceed the send limit. */
    public List<OutgoingDatagram> drainDatagrams(long nowNs) {
        List<OutgoingDatagram> datagrams = new ArrayList<>();
        for (OutgoingMessage message : membership.drainMessages()) {
            int maxBytes = Math.min(Packet.MAX_DATAGRAM_BYTES, sendLimiter.availableBytes(nowNs));
            String address = membership.addressOf(message.to());
            if (address == null) {
                continue;
            }
            Packet packet = piggyback(message, maxBytes - envelopeBytes - MAX_MESSAGE_BYTES);
            byte[] bytes = PacketCodec.encode(packet, Packet.MAX_DATAGRAM_BYTES);
            if (sendLimiter.tryAcquire(bytes.length + envelopeBytes, nowNs)) {
                datagrams.add(new OutgoingDatagram(message.to(), address, bytes));
            } else {
                drops.increment(DropReason.SEND_LIMIT);
            }
        }
        return datagrams;
    }

    /**
     * Piggybacks updates and reports of at most {@code maxBytes} bytes on the message. If reports are queued, updates
     * take at most half of the bytes, and reports the rest.
     */
    private Packet piggyback(OutgoingMessage message, int maxBytes) {
        List<MembershipUpdate> required = message.requiredUpdates();
        if (maxBytes <= 0) {
            return new Packet(message.message(), required, List.of());
        }
        List<MembershipUpdate> updates = new ArrayList<>(required);
        int maxUpdateBytes = reports.hasQueued() ? maxBytes / 2 : maxBytes;
        updates.addAll(membership.takeUpdates(maxUpdateBytes - encodedBytes(required)));
        List<SignedReport> signed = reports.takeQueued(maxBytes - encodedBytes(updates), membership.maxSends());
        return new Packet(message.message(), updates, signed);
    }

    private static int encodedBytes(List<MembershipUpdate> updates) {
        int sum = 0;
        for (MembershipUpdate update : updates) {
            sum += update.maxEncodedBytes();
        }
        return sum;
    }

    /** Removes and returns the addresses with which a full state exchange is due. */
    public List<String> drainStateExchanges() {
        return membership.drainStateExchanges();
    }

    /**
     * Returns a packet with the full state: the members, then the current health reports, newest first, as many as fit.
     */
    public Packet fullState(boolean isReply, long nowNs) {
        int bytesLeft = Packet.MAX_FULL_STATE_BYTES - envelopeBytes - MAX_MESSAGE_BYTES;
        List<MembershipUpdate> members = new ArrayList<>();
        for (MembershipUpdate update : membership.fullState()) {
            bytesLeft -= update.maxEncodedBytes();
            if (bytesLeft < 0) {
                break;
            }
            members.add(update);
        }
        return new Packet(new Message.FullState(isReply), members, reports.fullState(bytesLeft, nowNs));
    }

    // ---------------------------------------------------------------- removal

    /** Queues leave messages to some members, which forward them. After that no message is queued any more. */
    public void leave() {
        membership.leave();
    }

    /** Removes a member that is not on the roster any more, and all its health reports. */
    public void remove(String member) {
        membership.remove(member);
        reports.remove(member);
    }

    // ---------------------------------------------------------------- inspection

    /** Returns this agent's membership; callers only read it. */
    public Membership membership() {
        return membership;
    }

    /** Returns this member's send limit. */
    public SendRateLimiter sendLimiter() {
        return sendLimiter;
    }

    /** Returns the health reports of a destination that have not expired, this member's own included. */
    public List<HealthReport> currentReports(long destination, long nowNs) {
        return reports.currentReports(destination, nowNs);
    }

    /** Returns all stored health reports, including expired ones. */
    public List<HealthReport> allReports() {
        return reports.allReports();
    }

    /** Returns the credibility of a reporter, 0 to 1. */
    double credibility(String reporter, long nowNs) {
        return reports.credibility(reporter, nowNs);
    }

    /** Returns how many reports, updates or datagrams were dropped for the reason. */
    public long dropCount(DropReason reason) {
        return drops.count(reason);
    }
}
