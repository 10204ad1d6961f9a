package elderseam.gossip;

import java.util.Optional;

/**
 * SWIM's failure detector (section 3.1): in each probe interval one member is pinged; if it does not answer in time, some
 * others are asked to ping it; if there is no answer by the end of the interval, it is suspected. Lifeguard's {@link LocalHealth}
 * stretches interval and timeout.
 */
final class FailureDetector {
    /** The probe of one interval. */
    private static final class Probe {
        /** Null if no member is present to be probed. */
        final Member target;

        final long sequence;
        final long timeoutNs;
        final long endNs;
        boolean isAcked;
        boolean isIndirect;
        int helpers;
        int nacks;

        Probe(Member target, long sequence, long timeoutNs, long endNs) {
            this.target = target;
            this.sequence = sequence;
            this.timeoutNs = timeoutNs;
            this.endNs = endNs;
        }

        boolean waitsForDirectAck() {
            return target != null && !isAcked && !isIndirect;
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

    /** {@code firstDelayNs}: by how much the first interval is longer, so that members that start together probe apart. */
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

    /** Returns when {@link #tick} has something to do. */
    long nextTickNs() {
        return probe.waitsForDirectAck() ? Math.min(probe.timeoutNs, probe.endNs) : probe.endNs;
    }

    /** Ends the interval and begins the next one, or asks others to ping, if it is time. */
    void tick(long nowNs) {
        if (nowNs >= probe.endNs) {
            evaluate(nowNs);
            startProbe(nowNs);
        } else if (probe.waitsForDirectAck() && nowNs >= probe.timeoutNs) {
            probeIndirectly();
        }
    }

    /** Whether the ack answers the current probe; it is noted then. */
    boolean acceptAck(long sequence) {
        boolean isForProbe = probe.target != null && sequence == probe.sequence;
        if (isForProbe) {
            probe.isAcked = true;
        }
        return isForProbe;
    }

    /** Notes that a helper has had no answer either, if it is about the current probe. */
    void acceptNack(long sequence) {
        if (sequence == probe.sequence) {
            probe.nacks = Math.min(probe.helpers, probe.nacks + 1);
        }
    }

    /** Suspects the target if it has not answered, and draws conclusions on this member's own health. */
    private void evaluate(long nowNs) {
        Member target = probe.target;
        if (target == null) {
            return;
        }
        if (probe.isAcked) {
            health.add(-1);
            return;
        }
        health.add(probe.helpers > 0 ? probe.helpers - probe.nacks : 1);
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

    private void probeIndirectly() {
        probe.isIndirect = true;
        Member target = probe.target;
        for (Member helper : sampler.sample(
                timings.indirectProbes(), member -> member.state == MemberState.ALIVE && member != target)) {
            probe.helpers++;
            outbox.send(helper.name, new Message.PingRequest(probe.sequence, target.name));
        }
    }
}
