package elderseam.app;

import elderseam.core.Clock;
import elderseam.core.RequestDispatcher;
import elderseam.fleet.BreakerState;
import elderseam.fleet.partition.EndpointSubsetting;
import elderseam.fleet.partition.FleetSizeEstimator;
import elderseam.fleet.partition.TurnTakingTask;
import elderseam.frontend.platform.EndpointList;
import elderseam.gossip.HealthReport;
import elderseam.http.IoLoop;
import elderseam.policy.BreakerView;
import elderseam.settings.SettingKeys;
import elderseam.settings.Settings;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Tells the module what its part is of what the whole fleet does, by the members that there are; of the I/O thread. Where shares
 * are off this class is not loaded.
 */
final class PartitionService {
    /** The members as one source has them; each list is this one's own to keep. */
    interface Members {
        /** This one's name, as it stands among {@link #present}. */
        String self();

        /** Who is there, this one among them. */
        List<String> present();

        /** What others say of a destination that counts yet. */
        List<HealthReport> claims(long destination);
    }

    /** So many members that the platform told of, and which of them this one is; they say nothing. */
    record Told(int number, int count) implements Members {
        private static String name(int i) {
            return "m" + i;
        }

        @Override
        public String self() {
            return name(number);
        }

        @Override
        public List<String> present() {
            return java.util.stream.IntStream.range(0, count)
                    .mapToObj(Told::name)
                    .toList();
        }

        @Override
        public List<HealthReport> claims(long destination) {
            return List.of();
        }
    }

    private static final long LOOK_NS = 250 * Clock.MS, DEFER_NS = 500 * Clock.MS, IDLE_NS = 2_000 * Clock.MS;

    private final IoLoop io;
    private final RequestDispatcher relay;
    private final EndpointList hosts;
    private final Members members;
    private final FleetSizeEstimator size;
    private final int connections, each;
    private final double retries;
    private final boolean turns;
    private final Map<Long, TurnTakingTask> duties = new HashMap<>();
    private Set<String> preferred = Set.of(), known = Set.of();
    private List<String> names = List.of();
    private int sharers;
    private boolean left;

    PartitionService(IoLoop io, Settings s, RequestDispatcher relay, EndpointList hosts, int told, Members members) {
        this.io = io;
        this.relay = relay;
        this.hosts = hosts;
        this.members = members;
        this.size = new FleetSizeEstimator(told, s.get(SettingKeys.SHARES_HOLD_S) * 1_000 * Clock.MS);
        this.connections = s.get(SettingKeys.SHARES_CONNECTIONS).intValue();
        this.each = s.get(SettingKeys.SHARES_EACH).intValue();
        this.retries = s.get(SettingKeys.SHARES_RETRIES) / 100.0;
        this.turns = s.get(SettingKeys.SHARES_TRIALS).equals("one");
        look();
    }

    void leave() {
        left = true;
    }

    private void look() {
        if (left) {
            return;
        }
        List<String> present = members.present().stream().sorted().toList();
        size.observe(io.clock.now(), present.size());
        int now = size.estimate(io.clock.now());
        Map<Long, List<String>> listed = hosts.all();
        Set<String> ids = new HashSet<>();
        listed.values().forEach(ids::addAll);
        if (now != sharers || !present.equals(names) || !ids.equals(known)) {
            if (now != sharers || present.size() != names.size()) {
                System.err.println("shares: " + present.size() + " members, limits are divided by " + now);
            }
            sharers = now;
            names = present;
            known = ids;
            preferred = EndpointSubsetting.preferred(members.self(), names, listed, connections, each);
            relay.setFleetShare(
                    sharers,
                    e -> preferred.contains(e) || !known.contains(e),
                    retries); // one that is new is not passed over
        }
        if (turns) {
            relay.forEachBreaker(this::turn);
        }
        io.at(io.clock.now() + LOOK_NS, this::look);
    }

    private void turn(long destination, BreakerView breaker) {
        BreakerState own = standing(breaker.state());
        TurnTakingTask duty = own == BreakerState.CLOSED
                ? duties.remove(destination)
                : duties.computeIfAbsent(
                        destination, d -> new TurnTakingTask(Long.toString(d), members.self(), IDLE_NS));
        if (duty == null || own == BreakerState.CLOSED) {
            return;
        }
        List<TurnTakingTask.PeerReport> others = members.claims(destination).stream()
                .filter(c -> !c.reporter().equals(members.self()))
                .map(c -> new TurnTakingTask.PeerReport(c.reporter(), standing(c.state())))
                .toList();
        if (duty.defersProbe(io.clock.now(), own, others)) {
            relay.defer(hosts.of(destination), DEFER_NS);
        }
    }

    private static BreakerState standing(elderseam.policy.BreakerState own) {
        return switch (own) {
            case CLOSED -> BreakerState.CLOSED;
            case HALF_OPEN -> BreakerState.HALF_OPEN;
            case OPEN -> BreakerState.OPEN;
        };
    }

    private static BreakerState standing(HealthReport.State said) {
        return switch (said) {
            case CLOSED -> BreakerState.CLOSED;
            case HALF_OPEN -> BreakerState.HALF_OPEN;
            case OPEN -> BreakerState.OPEN;
        };
    }
}
