package elderseam.testkit.gossip;

import elderseam.gossip.Advice;
import elderseam.gossip.GossipAgent;
import elderseam.gossip.GossipTimings;
import elderseam.gossip.HealthReport;
import elderseam.gossip.LocalMember;
import elderseam.gossip.MemberState;
import elderseam.gossip.OwnBreaker;
import elderseam.gossip.PeerVerifier;
import elderseam.gossip.SendRateLimiter;
import elderseam.testkit.emulator.VirtualTime;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * Gossip members on a simulated network in virtual time, with what a test does to them and sees of them. Members are named n0000,
 * n0001 and so on; the first two are the seeds of all. Simultaneous events run in the order in which they were scheduled, and the
 * network and each member draw from random streams of their own, so that one seed gives one course of events. For one thread.
 */
public final class SimulatedFleet {
    private static final long MS = 1_000_000;
    private static final long BREAKER_POLL_NS = 250 * MS;
    private static final long CONVERGENCE_POLL_NS = 100 * MS;
    private static final long REPORT_POLL_NS = 10 * MS;
    private static final int MAX_CLOCK_OFFSET_S = 120;
    private static final int SEND_BYTES_PER_SECOND = 64 << 10;
    private static final int SEND_DATAGRAMS_PER_SECOND = 100;
    private static final PeerVerifier VERIFIER = new TrustingVerifier();

    /**
     * A change of a member's state as one observer saw it.
     *
     * @param atNs virtual time
     */
    public record StateChange(long atNs, String observer, String member, MemberState state) {}

    private final GossipTimings timings;
    private final SplittableRandom seeds;
    private final SplittableRandom networkRandom;
    private final VirtualTime time;
    private final SimulatedNetwork network;
    private final Map<String, SimulatedMember> members = new TreeMap<>();
    private final List<StateChange> changes = new ArrayList<>();

    /**
     * Starts a fleet at virtual time 0.
     *
     * @param size how many members
     * @param loss the share of datagrams that are lost
     * @param repeat the share of datagrams that are sent twice
     */
    public SimulatedFleet(int size, GossipTimings timings, double loss, double repeat, long seed) {
        this(new VirtualTime(), size, timings, loss, repeat, seed);
    }

    SimulatedFleet(VirtualTime time, int size, GossipTimings timings, double loss, double repeat, long seed) {
        this.time = time;
        this.timings = timings;
        this.seeds = new SplittableRandom(seed);
        this.networkRandom = seeds.split();
        this.network = new SimulatedNetwork(time, members, loss, repeat, networkRandom);
        for (int i = 0; i < size; i++) {
            String name = memberName(i);
            int offsetSeconds = networkRandom.nextInt(2 * MAX_CLOCK_OFFSET_S) - MAX_CLOCK_OFFSET_S;
            members.put(name, new SimulatedMember(name, i % 2, offsetSeconds * 1_000L * MS, time, network));
        }
        members.values().forEach(member -> start(member, 0));
    }

    /** The name of the member with that index. */
    static String memberName(int index) {
        return String.format(Locale.ROOT, "n%04d", index);
    }

    private void start(SimulatedMember member, long incarnation) {
        String name = member.name();
        LocalMember self = new LocalMember(name, name, List.of(memberName(0), memberName(1)), incarnation);
        SendRateLimiter limiter = new SendRateLimiter(SEND_BYTES_PER_SECOND, SEND_DATAGRAMS_PER_SECOND, member.now());
        GossipAgent agent = new GossipAgent(
                self,
                timings,
                limiter,
                VERIFIER,
                member.now(),
                seeds.split(),
                (changed, state) -> changes.add(new StateChange(time.now(), name, changed, state)));
        member.start(agent);
    }

    /** Attaches a dispatcher to a member, which looks at its breakers four times a second. */
    void attach(String name, BreakerExchange dispatcher) {
        long firstPoll = time.now() + (long) (BREAKER_POLL_NS * networkRandom.nextDouble());
        scheduleBreakerPoll(members.get(name), dispatcher, firstPoll);
    }

    private void scheduleBreakerPoll(SimulatedMember member, BreakerExchange dispatcher, long at) {
        time.at(at, () -> {
            if (member.isRunning()) {
                member.agent()
                        .updateReports(dispatcher.ownBreakers(), dispatcher::advise, member.now(), member.wallMs());
                member.flush();
            }
            scheduleBreakerPoll(member, dispatcher, at + BREAKER_POLL_NS);
        });
    }

    /**
     * Lets a member report from now on that a destination is down, and time pass until all members that are up hold a report of it.
     *
     * @return how long that took in nanoseconds; empty if longer than {@code withinNs}
     */
    public OptionalLong untilReportReachesAll(String reporter, long destination, long withinNs) {
        long start = time.now();
        attach(reporter, new OpenBreaker(destination));
        while (time.now() - start <= withinNs) {
            if (runningProcesses().stream().allMatch(member -> reportCount(member, destination) > 0)) {
                return OptionalLong.of(time.now() - start);
            }
            advance(REPORT_POLL_NS);
        }
        return OptionalLong.empty();
    }

    /** A dispatcher with one breaker, which is open. */
    private record OpenBreaker(long destination) implements BreakerExchange {
        private static final int FAILED_CALLS = 20;

        @Override
        public List<OwnBreaker> ownBreakers() {
            return List.of(new OwnBreaker(destination, HealthReport.State.OPEN, 0, FAILED_CALLS, FAILED_CALLS));
        }

        @Override
        public void advise(long advisedDestination, Advice advice) {
            // only its own report matters
        }
    }

    // ---------------------------------------------------------------- faults and time

    /** Ends a member's process without a word to the others. */
    public void kill(String name) {
        members.get(name).kill();
    }

    /** Starts a member again, with that incarnation. */
    public void restart(String name, long incarnation) {
        start(members.get(name), incarnation);
    }

    /** Stops a member's process with its sockets open: what arrives waits. */
    public void hang(String name) {
        members.get(name).hang();
    }

    /** Lets a hung member go on, with what has arrived meanwhile. */
    public void resume(String name) {
        members.get(name).resume();
    }

    /** Lets a member leave the fleet in order and end. */
    public void leave(String name) {
        members.get(name).leave();
    }

    /** Cuts the members with even numbers off from those with odd numbers, or joins them again. */
    public void setPartitioned(boolean partitioned) {
        network.setPartitioned(partitioned);
    }

    /** Lets so many nanoseconds pass. */
    public void advance(long ns) {
        time.pass(ns);
    }

    // ---------------------------------------------------------------- observations

    /** The virtual time in nanoseconds. */
    public long now() {
        return time.now();
    }

    /** The changes of state seen so far, oldest first; the list grows as time passes. */
    public List<StateChange> changes() {
        return changes;
    }

    /** The state in which an observer holds a member; empty if it doesn't know it. */
    public Optional<MemberState> memberState(String observer, String member) {
        return members.get(observer).agent().membership().stateOf(member);
    }

    /** Whether each member that is up considers as many members present as are up. */
    public boolean hasConverged() {
        Collection<SimulatedMember> up = runningProcesses();
        return up.stream().allMatch(member -> member.agent().membership().presentCount() == up.size());
    }

    /**
     * Lets time pass until the fleet {@link #hasConverged}, looking every 100 ms.
     *
     * @return how long that took in nanoseconds; empty if longer than {@code withinNs}
     */
    public OptionalLong untilConverged(long withinNs) {
        long start = time.now();
        while (time.now() - start <= withinNs) {
            if (hasConverged()) {
                return OptionalLong.of(time.now() - start);
            }
            advance(CONVERGENCE_POLL_NS);
        }
        return OptionalLong.empty();
    }

    /** What each member has sent since the last call. */
    public List<SentTraffic> takeTraffic() {
        return members.values().stream().map(SimulatedMember::takeTraffic).toList();
    }

    /** How many health reports of a destination count for a member. */
    public int reportCount(String name, long destination) {
        return reportCount(members.get(name), destination);
    }

    private static int reportCount(SimulatedMember member, long destination) {
        return member.agent().currentReports(destination, member.now()).size();
    }

    /** The members that are up, hung ones among them. */
    private List<SimulatedMember> runningProcesses() {
        return members.values().stream().filter(SimulatedMember::isUp).toList();
    }
}
