package elderseam.gossip;

import java.util.Optional;

/**
 * SWIM's failure detector (section 3.1): in each probe interval one member is pinged. If it does not answer within the
 * probe timeout, some other members are asked to ping it (indirect probes). If no ack has arrived by the end of the
 * interval, the member is suspected. Lifeguard's {@link LocalHealth} lengthens the interval and the timeout.
 */
final class FailureDetector {
    /** The probe of one probe interval. */
    private static final class Probe {
        /** Null if no member is present that could be probed. */
        final Member target;

        final long sequence;
        final long timeoutNs;
        final long endNs;
        boolean isAcked;
        boolean hasSentIndirectProbes;
        int indirectProbes;
        int nacks;

        Probe(Member target, long sequence, long timeoutNs, long endNs) {
            this.target = target;
            this.sequence = sequence;
            this.timeoutNs = timeoutNs;
            this.endNs = endNs;
        }

        boolean isAwaitingDirectAck() {
            return target != null && !isAcked && !hasSentIndirectProbes;
        }
    }

    private final String self;
    private final GossipTimings timings;
    private final MembershipTable table;
    private final Outbox outbox;
    private final MemberSampler sampler;
    private final ProbeOrder probeOrder;
    private final LocalHealth health;
    private Probe probe;

    /**
     * Starts the first interval, in which no member is probed.
     *
     * @param firstDelayNs added to the first interval, so that members that start at the same time probe at different
     *     times
     */
    FailureDetector(
            String self,
            GossipTimings timings,
            MembershipTable table,
            Outbox outbox,
            MemberSampler sampler,
            ProbeOrder probeOrder,
            LocalHealth health,
            long nowNs,
            long firstDelayNs) {
        this.self = self;
        this.timings = timings;
        this.table = table;
        this.outbox = outbox;
        this.sampler = sampler;
        this.probeOrder = probeOrder;
        this.health = health;
        this.probe =
                new Probe(null, 0, nowNs + timings.probeTimeoutNs(), nowNs + timings.probeIntervalNs() + firstDelayNs);
    }

    /** Returns when the next {@link #tick} is due. */
    long nextTickNs() {
        return probe.isAwaitingDirectAck() ? Math.min(probe.timeoutNs, probe.endNs) : probe.endNs;
    }

    /**
     * Starts the next probe at the end of the interval; sends indirect probes when the timeout has elapsed without an
     * ack.
     */
    void tick(long nowNs) {
        if (nowNs >= probe.endNs) {
            evaluateProbe(nowNs);
            startProbe(nowNs);
        } else if (probe.isAwaitingDirectAck() && nowNs >= probe.timeoutNs) {
            sendIndirectProbes();
        }
    }

    /** Records an ack of the current probe. Returns false, without effect, if the ack belongs to another ping. */
    boolean acceptAck(long sequence) {
        boolean isForCurrentProbe = probe.target != null && sequence == probe.sequence;
        if (isForCurrentProbe) {
            probe.isAcked = true;
        }
        return isForCurrentProbe;
    }

    /** Counts a nack of the current probe: a relay has received no ack from the target either. */
    void acceptNack(long sequence) {
        if (sequence == probe.sequence) {
            probe.nacks = Math.min(probe.indirectProbes, probe.nacks + 1);
        }
    }

    /** Suspects the target if no ack has arrived, and updates this member's local health. */
    private void evaluateProbe(long nowNs) {
        Member target = probe.target;
        if (target == null) {
            return;
        }
        if (probe.isAcked) {
            health.add(-1);
            return;
        }
        health.add(probe.indirectProbes > 0 ? probe.indirectProbes - probe.nacks : 1);
        if (target.isPresent()) {
            table.suspect(target, target.incarnation, self, nowNs);
        }
    }

    private void startProbe(long nowNs) {
        long timeoutNs = nowNs + timings.probeTimeoutNs() * health.multiplier();
        long endNs = nowNs + timings.probeIntervalNs() * health.multiplier();
        Optional<Member> target = table.members().isEmpty() ? Optional.empty() : probeOrder.next(table);
        probe = target.map(member -> new Probe(member, outbox.ping(member), timeoutNs, endNs))
                .orElseGet(() -> new Probe(null, 0, timeoutNs, endNs));
    }

    private void sendIndirectProbes() {
        probe.hasSentIndirectProbes = true;
        Member target = probe.target;
        for (Member relay : sampler.sample(
                timings.indirectProbes(), member -> member.state == MemberState.ALIVE && member != target)) {
            probe.indirectProbes++;
            outbox.send(relay.name, new Message.PingRequest(probe.sequence, target.name));
        }
    }
}
