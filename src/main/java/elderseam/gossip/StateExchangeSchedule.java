package elderseam.gossip;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Decides when, and with whom, this member exchanges its full state (push-pull anti-entropy, as memberlist does): with a
 * present member, and each time also with one that is considered dead or a seed that is not present, so that two halves of a
 * partitioned fleet find each other again.
 */
final class StateExchangeSchedule {
    /** In a larger fleet the state is larger, and exchanged less often, so that the bytes a second stay the same. */
    private static final double SMALL_FLEET = 32;

    private static final double MIN_JITTER = 0.75;
    private static final double JITTER_RANGE = 0.5;
    /** A member that knows nobody tries to join this often, in probe intervals. */
    private static final int JOIN_PROBE_INTERVALS = 2;

    private final LocalMember self;
    private final GossipTimings timings;
    private final MembershipTable table;
    private final MemberSampler sampler;
    private final SplittableRandom random;
    private long nextNs;
    private List<String> due = new ArrayList<>();

    /** The first exchange is due at once. */
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

    /** Chooses partners, if it is time. */
    void tick(long nowNs) {
        if (nowNs < nextNs) {
            return;
        }
        double sizeFactor = Math.max(1, table.presentCount() / SMALL_FLEET);
        double jitter = MIN_JITTER + JITTER_RANGE * random.nextDouble();
        nextNs = nowNs + (long) (timings.stateExchangeIntervalNs() * sizeFactor * jitter);
        List<Member> partner = sampler.sample(1, Member::isPresent);
        if (partner.isEmpty()) {
            nextNs = Math.min(nextNs, nowNs + JOIN_PROBE_INTERVALS * timings.probeIntervalNs());
        } else {
            due.add(partner.get(0).address);
        }
        List<String> lost = lostAddresses();
        if (!lost.isEmpty()) {
            due.add(lost.get(random.nextInt(lost.size())));
        }
    }

    /** Returns the addresses of dead members, and of seeds at which no member is present. */
    private List<String> lostAddresses() {
        List<String> lost = new ArrayList<>();
        for (Member member : table.notAlive()) {
            if (member.state == MemberState.DEAD) {
                lost.add(member.address);
            }
        }
        for (String seed : self.seeds()) {
            if (!seed.equals(self.address()) && !isPresentAt(seed)) {
                lost.add(seed);
            }
        }
        return lost;
    }

    private boolean isPresentAt(String address) {
        for (Member member : table.members()) {
            if (member.isPresent() && member.address.equals(address)) {
                return true;
            }
        }
        return false;
    }

    /** Returns the addresses with which to exchange the state now, and forgets them. */
    List<String> drain() {
        List<String> drained = due;
        due = new ArrayList<>();
        return drained;
    }
}
