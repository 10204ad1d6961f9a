package elderseam.gossip;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Schedules the full state exchanges of this member and selects their partners (push-pull anti-entropy, as in
 * HashiCorp's memberlist). Each time the partners are one member that is present, and one address of a dead member or
 * of a seed that is not present, so that the two halves of a partitioned fleet merge after the partition ends.
 */
final class StateExchangeSchedule {
    /**
     * Up to this many members the interval is constant. In a larger fleet, where the state is larger, it grows with the
     * number of members, so that the bytes per second stay the same.
     */
    private static final double SMALL_FLEET_MEMBERS = 32;

    private static final double MIN_JITTER = 0.75;
    private static final double JITTER_RANGE = 0.5;
    /** Maximum time between attempts to join, in probe intervals, while no other member is present. */
    private static final int JOIN_PROBE_INTERVALS = 2;

    private final LocalMember self;
    private final GossipTimings timings;
    private final MembershipTable table;
    private final MemberSampler sampler;
    private final SplittableRandom random;
    private long nextNs;
    private List<String> dueAddresses = new ArrayList<>();

    /** Creates a schedule whose first exchange is due immediately. */
    StateExchangeSchedule(
            LocalMember self,
            GossipTimings timings,
            MembershipTable table,
            MemberSampler sampler,
            SplittableRandom random,
            long nowNs) {
        this.self = self;
        this.timings = timings;
        this.table = table;
        this.sampler = sampler;
        this.random = random;
        this.nextNs = nowNs;
    }

    long nextTickNs() {
        return nextNs;
    }

    /** Selects the partners of the next exchange if it is due. */
    void tick(long nowNs) {
        if (nowNs < nextNs) {
            return;
        }
        double sizeFactor = Math.max(1, table.presentCount() / SMALL_FLEET_MEMBERS);
        double jitter = MIN_JITTER + JITTER_RANGE * random.nextDouble();
        nextNs = nowNs + (long) (timings.stateExchangeIntervalNs() * sizeFactor * jitter);
        List<Member> partners = sampler.sample(1, Member::isPresent);
        if (partners.isEmpty()) {
            nextNs = Math.min(nextNs, nowNs + JOIN_PROBE_INTERVALS * timings.probeIntervalNs());
        } else {
            dueAddresses.add(partners.get(0).address);
        }
        List<String> reconnectAddresses = reconnectAddresses();
        if (!reconnectAddresses.isEmpty()) {
            dueAddresses.add(reconnectAddresses.get(random.nextInt(reconnectAddresses.size())));
        }
    }

    /** Returns the addresses of dead members, and of seeds at which no member is present. */
    private List<String> reconnectAddresses() {
        List<String> addresses = new ArrayList<>();
        for (Member member : table.notAlive()) {
            if (member.state == MemberState.DEAD) {
                addresses.add(member.address);
            }
        }
        for (String seed : self.seeds()) {
            if (!seed.equals(self.address()) && !isPresentAt(seed)) {
                addresses.add(seed);
            }
        }
        return addresses;
    }

    private boolean isPresentAt(String address) {
        for (Member member : table.members()) {
            if (member.isPresent() && member.address.equals(address)) {
                return true;
            }
        }
        return false;
    }

    /** Returns the addresses with which to exchange the state now, and clears the list. */
    List<String> drain() {
        List<String> drained = dueAddresses;
        dueAddresses = new ArrayList<>();
        return drained;
    }
}
