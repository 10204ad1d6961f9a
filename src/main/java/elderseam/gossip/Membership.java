package elderseam.gossip;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;

/**
 * The group membership protocol of the fleet, based on SWIM (Das, Gupta, Motivala 2002):
 *
 * <ul>
 *   <li>{@link FailureDetector} probes one member after the other, directly and through other members.
 *   <li>A member that does not answer is suspected, and is considered dead unless it refutes the suspicion in time by
 *       raising its incarnation ({@link MembershipTable}).
 *   <li>Updates are piggybacked on messages, each a bounded number of times ({@link PiggybackQueue}).
 * </ul>
 *
 * <p>The extensions of Lifeguard (Dadgar, Phillips, Currey 2018) are {@link LocalHealth}, suspicions that become
 * shorter with each independent confirmation, and pings that always notify a suspect of its suspicion. The handling of
 * members that are dead or have left, the gossip rounds in addition to the probes, and {@link StateExchangeSchedule}
 * follow HashiCorp's memberlist.
 *
 * <p>Owned by one thread. Call {@link #tick} at {@link #nextTickNs}. The caller bounds the number of members by a
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
     * Creates the membership, in which only this member is known. The first {@link #tick} starts to join the fleet.
     *
     * @param stateListener notified of each change of another member's state
     * @param hasOtherGossip returns whether content other than membership updates is queued for the gossip rounds
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

    // ---------------------------------------------------------------- queries

    /** Returns the number of members that are present, including this one. */
    public int presentCount() {
        return table.presentCount();
    }

    /** Returns the state of a member; empty if the member is unknown. */
    public Optional<MemberState> stateOf(String name) {
        if (name.equals(self.name())) {
            return Optional.of(ownState());
        }
        return Optional.ofNullable(table.find(name)).map(member -> member.state);
    }

    private MemberState ownState() {
        return hasLeft ? MemberState.LEFT : MemberState.ALIVE;
    }

    /** Returns the current state of all other members, as a copy. */
    public List<MembershipUpdate> otherMembers() {
        List<MembershipUpdate> others = new ArrayList<>();
        for (Member member : table.members()) {
            others.add(
                    new MembershipUpdate(member.name, member.address, member.state, member.incarnation, member.name));
        }
        return others;
    }

    /** Returns the content of a full state exchange: the state of all known members, this one first. */
    List<MembershipUpdate> fullState() {
        return table.fullState(ownState());
    }

    /** Returns the member's address, or null if the member is unknown. */
    String addressOf(String name) {
        Member member = table.find(name);
        return member == null ? null : member.address;
    }

    /** Returns the name of the member at an address; empty if no known member has that address. */
    public Optional<String> nameAt(String address) {
        for (Member member : table.members()) {
            if (member.address.equals(address)) {
                return Optional.of(member.name);
            }
        }
        return Optional.empty();
    }

    // ---------------------------------------------------------------- timers

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

    /** Runs all timers that are due. */
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

    /** Sends a gossip round: messages without content of their own. Local health does not affect the interval. */
    private void sendGossip(long nowNs) {
        nextGossipNs = nowNs + timings.gossipIntervalNs();
        for (Member member : sampler.sample(timings.gossipFanout(), Member::isPresent)) {
            outbox.sendGossip(member);
        }
    }

    // ---------------------------------------------------------------- receiving

    /** Handles a message of an authenticated member. A sender that is not known yet receives no answer. */
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

    // ---------------------------------------------------------------- sending

    /** Returns the messages to be sent now, and clears the queue. */
    List<OutgoingMessage> drainMessages() {
        return outbox.drain();
    }

    /** Returns the addresses with which to exchange the full state now, and clears the list. */
    List<String> drainStateExchanges() {
        return stateExchanges.drain();
    }

    /** Returns updates to piggyback on a message, at most {@code maxBytes} encoded bytes, and counts them as sent. */
    List<MembershipUpdate> takeUpdates(int maxBytes) {
        return table.announcements().take(maxBytes, maxSends());
    }

    /** Returns how many times an update is sent in a fleet of the current size. */
    int maxSends() {
        return timings.maxSends(presentCount());
    }

    // ---------------------------------------------------------------- removal

    /** Removes a member that is no longer on the roster. The caller drops all later updates about it. */
    void remove(String name) {
        table.remove(name);
    }

    /** Notifies some members, which spread the update, that this member leaves. Afterwards this object does nothing. */
    void leave() {
        MembershipUpdate leaveUpdate = table.ownUpdate(MemberState.LEFT);
        table.announcements().put(self.name(), leaveUpdate);
        for (Member member : sampler.sample(maxSends(), Member::isPresent)) {
            outbox.ping(member, List.of(leaveUpdate));
        }
        hasLeft = true;
    }
}
