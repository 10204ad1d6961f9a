package elderseam.gossip;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;

/**
 * Which members of the fleet are present, after SWIM (Das, Gupta, Motivala 2002): {@link FailureDetector} probes members in
 * turn, directly and through others; one that does not answer is suspected, and considered dead unless it refutes in time by
 * raising its incarnation ({@link MembershipTable}); updates are piggybacked on messages a bounded number of times ({@link
 * PiggybackQueue}). With Lifeguard (Dadgar, Phillips, Currey 2018): {@link LocalHealth}, suspicions that shorten with each
 * independent confirmation, and suspects that are always told. The handling of dead and left members, rounds of gossip beside
 * the probes and {@link StateExchangeSchedule} follow HashiCorp's memberlist.
 *
 * <p>One thread owns it; {@link #tick} is to be called at {@link #nextTickNs}. The caller bounds the number of members, by a
 * roster.
 */
public final class Membership {
    private final LocalMember self;
    private final GossipTimings timings;
    private final MembershipTable table;
    private final Outbox outbox;
    private final MemberSampler sampler;
    private final FailureDetector failureDetector;
    private final PingRelays pingRelays;
    private final StateExchangeSchedule stateExchanges;
    private final BooleanSupplier hasOtherGossip;
    private long nextGossipNs;
    private boolean hasLeft;

    /**
     * Starts to look for members.
     *
     * @param stateListener notified of each change of another member's state
     * @param hasOtherGossip whether there is something beside membership updates to be spread as quickly as those
     */
    Membership(
            LocalMember self,
            GossipTimings timings,
            long nowNs,
            SplittableRandom random,
            BiConsumer<String, MemberState> stateListener,
            BooleanSupplier hasOtherGossip) {
        this.self = self;
        this.timings = timings;
        this.hasOtherGossip = hasOtherGossip;
        this.nextGossipNs = nowNs;
        LocalHealth health = new LocalHealth(timings);
        ProbeOrder probeOrder = new ProbeOrder(random);
        this.table = new MembershipTable(self, timings, new TableListener(probeOrder, health, stateListener));
        this.outbox = new Outbox(table);
        this.sampler = new MemberSampler(table, random);
        this.pingRelays = new PingRelays(timings, table, outbox);
        this.stateExchanges = new StateExchangeSchedule(self, timings, table, sampler, random, nowNs);
        long firstDelayNs = (long) (random.nextDouble() * timings.probeIntervalNs());
        this.failureDetector = new FailureDetector(
                self.name(), timings, table, outbox, sampler, probeOrder, health, nowNs, firstDelayNs);
    }

    private record TableListener(
            ProbeOrder probeOrder, LocalHealth health, BiConsumer<String, MemberState> stateListener)
            implements MembershipTable.Listener {
        @Override
        public void memberJoined(Member member) {
            probeOrder.add(member);
        }

        @Override
        public void stateChanged(String member, MemberState state) {
            stateListener.accept(member, state);
        }

        @Override
        public void selfSuspected() {
            health.add(1);
        }
    }

    // ---------------------------------------------------------------- what is known

    /** Returns how many members are present, this one included. */
    public int presentCount() {
        return table.presentCount();
    }

    /** Returns what is believed of a member; empty if it is unknown. */
    public Optional<MemberState> stateOf(String name) {
        if (name.equals(self.name())) {
            return Optional.of(ownState());
        }
        return Optional.ofNullable(table.find(name)).map(member -> member.state);
    }

    private MemberState ownState() {
        return hasLeft ? MemberState.LEFT : MemberState.ALIVE;
    }

    /** Returns the other members as they are known; a copy. */
    public List<MembershipUpdate> otherMembers() {
        List<MembershipUpdate> others = new ArrayList<>();
        for (Member member : table.members()) {
            others.add(
                    new MembershipUpdate(member.name, member.address, member.state, member.incarnation, member.name));
        }
        return others;
    }

    /** Returns all that is known, beginning with this member: what a full state exchange sends. */
    List<MembershipUpdate> fullState() {
        return table.fullState(ownState());
    }

    /** Returns the member's address, or null if it is unknown. */
    String addressOf(String name) {
        Member member = table.find(name);
        return member == null ? null : member.address;
    }

    /** Returns the name of the member at an address; empty if none is known there. */
    public Optional<String> nameAt(String address) {
        for (Member member : table.members()) {
            if (member.address.equals(address)) {
                return Optional.of(member.name);
            }
        }
        return Optional.empty();
    }

    // ---------------------------------------------------------------- time

    /** Returns when the next {@link #tick} is due; {@link Long#MAX_VALUE} after {@link #leave}. */
    long nextTickNs() {
        if (hasLeft) {
            return Long.MAX_VALUE;
        }
        long nextNs = Math.min(stateExchanges.nextTickNs(), failureDetector.nextTickNs());
        nextNs = Math.min(nextNs, pingRelays.nextTickNs());
        if (hasGossip() && !table.members().isEmpty()) {
            nextNs = Math.min(nextNs, nextGossipNs);
        }
        for (Member member : table.notAlive()) {
            if (member.state == MemberState.SUSPECT) {
                nextNs = Math.min(nextNs, table.suspicionEndNs(member));
            }
        }
        return nextNs;
    }

    /** Does what is due. */
    void tick(long nowNs) {
        if (hasLeft) {
            return;
        }
        pingRelays.tick(nowNs);
        table.expire(nowNs);
        failureDetector.tick(nowNs);
        stateExchanges.tick(nowNs);
        if (nowNs >= nextGossipNs && hasGossip()) {
            sendGossip(nowNs);
        }
    }

    private boolean hasGossip() {
        return !table.announcements().isEmpty() || hasOtherGossip.getAsBoolean();
    }

    /** Sends messages for the sake of what is piggybacked on them; the interval does not follow the local health. */
    private void sendGossip(long nowNs) {
        nextGossipNs = nowNs + timings.gossipIntervalNs();
        for (Member member : sampler.sample(timings.gossipFanout(), Member::isPresent)) {
            outbox.sendGossip(member);
        }
    }

    // ---------------------------------------------------------------- what arrives

    /** Handles a message of an authenticated member; one that is not known yet gets no answer. */
    void receive(String from, Message message, long nowNs) {
        if (hasLeft) {
            return;
        }
        if (message instanceof Message.Ping ping) {
            if (ping.target().equals(self.name())) {
                outbox.send(from, new Message.Ack(ping.sequence()));
            }
        } else if (message instanceof Message.PingRequest request) {
            pingRelays.accept(from, request, nowNs);
        } else if (message instanceof Message.Ack ack) {
            if (!failureDetector.acceptAck(ack.sequence())) {
                pingRelays.acceptAck(ack.sequence());
            }
        } else if (message instanceof Message.Nack nack) {
            failureDetector.acceptNack(nack.sequence());
        }
    }

    /** Applies an update that was piggybacked on a message. */
    void apply(MembershipUpdate update, long nowNs) {
        if (!hasLeft) {
            table.apply(update, nowNs);
        }
    }

    /** Applies another member's full state. */
    void mergeFullState(List<MembershipUpdate> state, long nowNs) {
        if (!hasLeft) {
            table.mergeFullState(state, nowNs);
        }
    }

    // ---------------------------------------------------------------- what is to be sent

    /** Returns the messages to be sent now, and forgets them. */
    List<OutgoingMessage> drainMessages() {
        return outbox.drain();
    }

    /** Returns the addresses with which to exchange the full state now, and forgets them. */
    List<String> drainStateExchanges() {
        return stateExchanges.drain();
    }

    /** Returns updates to be piggybacked on a message, of so many bytes at most, and counts them as sent. */
    List<MembershipUpdate> takeUpdates(int maxBytes) {
        return table.announcements().take(maxBytes, maxSends());
    }

    /** Returns how often an update is sent in a fleet of this size. */
    int maxSends() {
        return timings.maxSends(presentCount());
    }

    // ---------------------------------------------------------------- removal

    /** Forgets a member that is not on the roster any more. The caller ignores what is said of it from now on. */
    void remove(String name) {
        table.remove(name);
    }

    /** Says good-bye to some members, which pass it on. After that this object does nothing. */
    void leave() {
        MembershipUpdate goodBye = table.ownUpdate(MemberState.LEFT);
        table.announcements().put(self.name(), goodBye);
        for (Member member : sampler.sample(maxSends(), Member::isPresent)) {
            outbox.ping(member, List.of(goodBye));
        }
        hasLeft = true;
    }
}
