package elderseam.gossip.transport;

import elderseam.gossip.Advice;
import elderseam.gossip.DropReason;
import elderseam.gossip.GossipAgent;
import elderseam.gossip.GossipTimings;
import elderseam.gossip.HealthReport;
import elderseam.gossip.LocalMember;
import elderseam.gossip.MemberState;
import elderseam.gossip.MembershipUpdate;
import elderseam.gossip.OwnBreaker;
import elderseam.gossip.Packet;
import elderseam.gossip.PacketCodec;
import elderseam.gossip.SendRateLimiter;
import elderseam.gossip.security.EnvelopeDropReason;
import elderseam.gossip.security.Keyring;
import elderseam.gossip.security.OpenResult;
import elderseam.gossip.security.PacketAuthenticator;
import elderseam.gossip.security.Roster;
import elderseam.http.IoLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

/**
 * Connects the {@link GossipAgent} of this member to its sockets: authenticates received packets with the {@link
 * PacketAuthenticator} and passes them to the agent, and signs and sends the agent's packets. Four times a second the
 * agent checks the state of this member's own circuit breakers. Confined to the I/O thread.
 */
public final class GossipTransport {
    /**
     * The callbacks from the transport to its owner; called on the I/O thread.
     *
     * @param ownBreakers this member's own circuit breakers
     * @param advice receives, for a destination, the advice derived from the health reports of the other members
     * @param listener observes events that are of interest to an operator
     */
    public record Callbacks(
            Supplier<List<OwnBreaker>> ownBreakers, BiConsumer<Long, Advice> advice, GossipListener listener) {}

    private static final long REPORT_INTERVAL_NS = TimeUnit.MILLISECONDS.toNanos(250);
    private static final long COUNTS_INTERVAL_NS = TimeUnit.SECONDS.toNanos(60);

    private final IoLoop io;
    private final Callbacks callbacks;
    private final Keyring keyring;
    private final PacketAuthenticator authenticator;
    private final DatagramTransport datagrams;
    private final StreamTransport streams;
    private final GossipAgent agent;
    /** By member, the last body that was sent without a token; it is resent once the member has issued its token. */
    private final Map<String, byte[]> bodiesAwaitingToken = new HashMap<>();

    private final Map<String, MemberState> reportedStates = new HashMap<>();
    private long scheduledTickNs = Long.MAX_VALUE;
    private long nextCountsReportNs;
    private long suspicions;
    private String reportedCounts = "";
    private boolean isClosed;

    /**
     * Binds both sockets and starts. With port 0, the UDP socket is bound to the port that the TCP socket was assigned.
     *
     * @throws IOException if a socket can't be bound
     */
    public GossipTransport(
            IoLoop io, TransportSettings settings, Keyring keyring, GossipTimings timings, Callbacks callbacks)
            throws IOException {
        this.io = io;
        this.callbacks = callbacks;
        this.keyring = keyring;
        SecureRandom random = new SecureRandom();
        long nowNs = io.clock.now();
        this.authenticator = new PacketAuthenticator(settings.name(), keyring, random, nowNs);
        this.streams = new StreamTransport(io, settings.listenAddress(), this::receive);
        this.datagrams = new DatagramTransport(io, streams.localAddress(), this::receive);
        LocalMember self = localMember(settings);
        this.agent = new GossipAgent(
                self,
                timings,
                new SendRateLimiter(settings.maxBytesPerSecond(), settings.maxDatagramsPerSecond(), nowNs),
                keyring,
                nowNs,
                new SplittableRandom(random.nextLong()),
                this::stateChanged);
        this.nextCountsReportNs = nowNs + COUNTS_INTERVAL_NS;
        callbacks.listener().started(self.name(), self.address());
        flush();
        io.repeat(REPORT_INTERVAL_NS, this::updateReports);
        updateReports();
    }

    private LocalMember localMember(TransportSettings settings) {
        String address = settings.advertisedAddress().isEmpty()
                ? MemberAddresses.format(streams.localAddress())
                : settings.advertisedAddress();
        return new LocalMember(settings.name(), address, settings.seeds(), wallMs());
    }

    private static long wallMs() {
        return System.currentTimeMillis();
    }

    /** Only counts suspicions, since lost datagrams cause them often and briefly; reports the other states. */
    private void stateChanged(String member, MemberState state) {
        if (state == MemberState.SUSPECT) {
            suspicions++;
        } else if (reportedStates.put(member, state) != state) {
            callbacks.listener().memberChanged(member, state);
        }
    }

    // ---------------------------------------------------------------- sending and timers

    /** Sends the agent's pending packets, and schedules its next tick. */
    private void flush() {
        if (isClosed) {
            return;
        }
        for (GossipAgent.OutgoingDatagram datagram : agent.drainDatagrams(io.clock.now())) {
            send(datagram.to(), MemberAddresses.parse(datagram.address()), datagram.packet());
        }
        for (String address : agent.drainStateExchanges()) {
            exchangeState(address);
        }
        scheduleTick();
    }

    private void send(String to, InetSocketAddress address, byte[] body) {
        if (!authenticator.hasToken(to)) {
            bodiesAwaitingToken.put(to, body);
        }
        datagrams.send(address, sign(to, body));
    }

    private byte[] sign(String to, byte[] body) {
        return authenticator.sign(to, body, wallMs(), io.clock.now());
    }

    private void exchangeState(String address) {
        String member = agent.membership().nameAt(address).orElse(PacketAuthenticator.UNKNOWN_MEMBER);
        Packet state = agent.fullState(false, io.clock.now());
        byte[] body = PacketCodec.encode(state, Packet.MAX_FULL_STATE_BYTES);
        streams.connect(MemberAddresses.parse(address), body, () -> sign(member, body));
    }

    private void scheduleTick() {
        long nextNs = agent.nextTickNs();
        if (nextNs < scheduledTickNs) {
            scheduledTickNs = nextNs;
            io.at(nextNs, () -> tick(nextNs));
        }
    }

    private void tick(long scheduledNs) {
        if (scheduledTickNs == scheduledNs) { // otherwise an earlier tick is scheduled as well
            scheduledTickNs = Long.MAX_VALUE;
        }
        agent.tick(io.clock.now());
        flush();
    }

    /** Returns when the next update is due; {@link Long#MAX_VALUE}, for never, once this is closed. */
    private long updateReports() {
        if (isClosed) {
            return Long.MAX_VALUE;
        }
        long nowNs = io.clock.now();
        agent.updateReports(callbacks.ownBreakers().get(), callbacks.advice(), nowNs, wallMs());
        if (nowNs >= nextCountsReportNs) {
            nextCountsReportNs = nowNs + COUNTS_INTERVAL_NS;
            reportChangedCounts();
        }
        return nowNs + REPORT_INTERVAL_NS;
    }

    private void reportChangedCounts() {
        String counts = counts();
        if (!counts.equals(reportedCounts)) {
            reportedCounts = counts;
            callbacks.listener().countsChanged(counts);
        }
    }

    // ---------------------------------------------------------------- receiving

    private void receive(InetSocketAddress from, byte[] bytes, int length) {
        long nowNs = io.clock.now();
        OpenResult result =
                authenticator.open(from.getAddress(), bytes, length, Packet.MAX_DATAGRAM_BYTES, wallMs(), nowNs);
        if (result instanceof OpenResult.Opened opened) {
            agent.receive(opened.sender(), opened.packet(), nowNs, wallMs(), opened.senderWallMs());
            flush();
        } else if (result instanceof OpenResult.HelloAccepted accepted) {
            byte[] body = bodiesAwaitingToken.remove(accepted.sender());
            if (body != null) {
                send(accepted.sender(), from, body);
            }
        } else if (result instanceof OpenResult.TokenOffered offered) {
            if (agent.sendLimiter().tryAcquire(offered.hello().length, nowNs)) {
                datagrams.send(from, offered.hello());
            }
        }
    }

    private void receive(FramedConnection connection, byte[] frame) {
        long nowNs = io.clock.now();
        OpenResult result = authenticator.open(
                connection.peerAddress().getAddress(),
                frame,
                frame.length,
                Packet.MAX_FULL_STATE_BYTES,
                wallMs(),
                nowNs);
        if (result instanceof OpenResult.Opened opened) {
            receiveState(connection, opened, nowNs);
        } else if (result instanceof OpenResult.HelloAccepted accepted) {
            if (connection.resendBody() != null) {
                connection.send(sign(accepted.sender(), connection.resendBody()));
            }
        } else if (result instanceof OpenResult.TokenOffered offered) {
            connection.send(offered.hello());
        } else {
            connection.closeWhenSent();
        }
    }

    private void receiveState(FramedConnection connection, OpenResult.Opened opened, long nowNs) {
        Optional<Packet> answer =
                agent.receive(opened.sender(), opened.packet(), nowNs, wallMs(), opened.senderWallMs());
        if (answer.isPresent()) {
            byte[] body = PacketCodec.encode(answer.get(), Packet.MAX_FULL_STATE_BYTES);
            connection.setResendBody(body);
            connection.send(sign(opened.sender(), body));
        } else {
            connection.closeWhenSent();
        }
        flush();
    }

    // ---------------------------------------------------------------- changes of the configuration

    /** Changes the limits on sent datagrams, with immediate effect. */
    public void setSendLimits(double bytesPerSecond, double datagramsPerSecond) {
        agent.sendLimiter().setLimits(bytesPerSecond, datagramsPerSecond, io.clock.now());
    }

    /** Replaces the roster. Members that are not on the new one are removed, together with all their health reports. */
    public void setRoster(Roster newRoster) {
        List<String> removed = new ArrayList<>();
        for (Roster.Entry entry : keyring.roster().all()) {
            if (newRoster.find(entry.name()).isEmpty()) {
                removed.add(entry.name());
            }
        }
        keyring.setRoster(newRoster);
        removed.forEach(this::remove);
    }

    private void remove(String member) {
        agent.remove(member);
        authenticator.remove(member);
        bodiesAwaitingToken.remove(member);
        reportedStates.remove(member);
        callbacks.listener().memberRemoved(member);
    }

    /** Announces to other members that this one is leaving, and closes the sockets. */
    public void leave() {
        agent.leave();
        flush();
        isClosed = true;
        streams.close();
        datagrams.close();
    }

    // ---------------------------------------------------------------- state for operators

    /** Returns one line for the operator: the number of present members, suspicions, and dropped packets by reason. */
    public String counts() {
        StringBuilder dropped = new StringBuilder();
        for (EnvelopeDropReason reason : EnvelopeDropReason.values()) {
            appendCount(dropped, reason.wireName(), authenticator.dropCount(reason));
        }
        for (DropReason reason : DropReason.values()) {
            appendCount(dropped, reason.wireName(), agent.dropCount(reason));
        }
        appendCount(dropped, "reads put off", datagrams.readPauses());
        appendCount(dropped, "connections refused", streams.refusedConnections());
        return agent.membership().presentCount() + " present, " + suspicions + " suspicions, dropped:"
                + (dropped.length() == 0 ? " nothing" : dropped);
    }

    private static void appendCount(StringBuilder line, String reason, long count) {
        if (count > 0) {
            line.append(' ').append(reason).append(' ').append(count).append(';');
        }
    }

    /** Returns the other members and their states, as known to this member. */
    public List<MembershipUpdate> members() {
        return agent.membership().otherMembers();
    }

    /** Returns the current health reports of a destination. */
    public List<HealthReport> currentReports(long destination) {
        return agent.currentReports(destination, io.clock.now());
    }

    /** Returns all stored health reports, including expired ones. */
    public List<HealthReport> allReports() {
        return agent.allReports();
    }
}
