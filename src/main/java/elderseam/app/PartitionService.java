package elderseam.app;

import static elderseam.logging.LogField.field;

import elderseam.core.Clock;
import elderseam.core.PeriodicTask;
import elderseam.core.RequestDispatcher;
import elderseam.fleet.BreakerState;
import elderseam.fleet.partition.EndpointSubsetting;
import elderseam.fleet.partition.FleetSizeEstimator;
import elderseam.fleet.partition.RecoveryProbeTurns;
import elderseam.frontend.platform.EndpointList;
import elderseam.gossip.HealthReport;
import elderseam.http.IoLoop;
import elderseam.logging.EventLogger;
import elderseam.policy.BreakerView;
import elderseam.settings.SettingKeys;
import elderseam.settings.Settings;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Tells the policy its part of what the whole fleet may do, by the members that are there: a share of each limit, a
 * subset of the endpoints, and whose turn it is to probe an open breaker. Confined to the I/O thread; not loaded where
 * it is off.
 */
final class PartitionService {
    private static final EventLogger LOG = EventLogger.of(PartitionService.class);

    private static final long CHECK_INTERVAL_NS = 250 * Clock.MILLISECOND_NS;

    /** A probe that is another member's turn is put off for so long: two checks, so the next one comes in time. */
    private static final long PROBE_DEFERRAL_NS = 500 * Clock.MILLISECOND_NS;

    /** A member may be ready for a probe for so long without one, before its turn passes on. */
    private static final long IDLE_TURN_LIMIT_NS = 2_000 * Clock.MILLISECOND_NS;

    private final IoLoop io;
    private final RequestDispatcher dispatcher;
    private final EndpointList endpoints;
    private final PartitionMembers members;
    private final FleetSizeEstimator fleetSize;
    private final int connectionsPerEndpoint;
    private final int connectionsPerMember;
    private final double retryRatio;
    private final boolean probesByTurns;
    private final Map<Long, RecoveryProbeTurns> turnsByDestination = new HashMap<>();
    private Set<String> preferredEndpoints = Set.of();
    private Set<String> knownEndpoints = Set.of();
    private List<String> memberNames = List.of();
    private int divisor;
    private boolean left;

    /**
     * Divides from now on.
     *
     * @param configuredCount how many members the platform's configuration says there are
     */
    PartitionService(
            IoLoop io,
            Settings settings,
            RequestDispatcher dispatcher,
            EndpointList endpoints,
            int configuredCount,
            PartitionMembers members) {
        this.io = io;
        this.dispatcher = dispatcher;
        this.endpoints = endpoints;
        this.members = members;
        this.fleetSize = new FleetSizeEstimator(
                configuredCount, settings.get(SettingKeys.SHARES_HOLD_S) * 1_000 * Clock.MILLISECOND_NS);
        this.connectionsPerEndpoint =
                settings.get(SettingKeys.SHARES_ENDPOINT_CONNECTIONS).intValue();
        this.connectionsPerMember =
                settings.get(SettingKeys.SHARES_CONNECTIONS_EACH).intValue();
        this.retryRatio = settings.get(SettingKeys.SHARES_RETRIES_PERCENT) / 100.0;
        this.probesByTurns = settings.get(SettingKeys.SHARES_TRIALS).equals("one");
        io.repeat(CHECK_INTERVAL_NS, this::check);
        check();
    }

    /** Divides no more; the last share stays. */
    void leave() {
        left = true;
    }

    private long check() {
        if (left) {
            return PeriodicTask.NEVER;
        }
        divide();
        if (probesByTurns) {
            dispatcher.forEachBreaker(this::takeTurn);
        }
        return io.clock.now() + CHECK_INTERVAL_NS;
    }

    /** Tells the policy its part again where members, endpoints or the divisor have changed. */
    private void divide() {
        List<String> present = members.present().stream().sorted().toList();
        fleetSize.observe(io.clock.now(), present.size());
        int newDivisor = fleetSize.estimate(io.clock.now());
        Map<Long, List<String>> endpointsByDestination = endpoints.idsByDestination();
        Set<String> endpointIds = new HashSet<>();
        endpointsByDestination.values().forEach(endpointIds::addAll);
        if (newDivisor == divisor && present.equals(memberNames) && endpointIds.equals(knownEndpoints)) {
            return;
        }
        if (newDivisor != divisor || present.size() != memberNames.size()) {
            LOG.info("partition.changed", field("members", present.size()), field("limit_divisor", newDivisor));
        }
        divisor = newDivisor;
        memberNames = present;
        knownEndpoints = endpointIds;
        preferredEndpoints = EndpointSubsetting.preferred(
                members.self(), memberNames, endpointsByDestination, connectionsPerEndpoint, connectionsPerMember);
        dispatcher.setFleetShare(divisor, this::isPreferred, retryRatio);
    }

    /** An endpoint that is new is not passed over until the subsets are made anew. */
    private boolean isPreferred(String endpoint) {
        return preferredEndpoints.contains(endpoint) || !knownEndpoints.contains(endpoint);
    }

    private void takeTurn(long destination, BreakerView breaker) {
        BreakerState own = state(breaker.state());
        if (own == BreakerState.CLOSED) {
            turnsByDestination.remove(destination);
            return;
        }
        RecoveryProbeTurns turns = turnsByDestination.computeIfAbsent(
                destination, d -> new RecoveryProbeTurns(Long.toString(d), members.self(), IDLE_TURN_LIMIT_NS));
        List<RecoveryProbeTurns.PeerReport> others = members.reports(destination).stream()
                .filter(report -> !report.reporter().equals(members.self()))
                .map(report -> new RecoveryProbeTurns.PeerReport(report.reporter(), state(report.state())))
                .toList();
        if (turns.defersProbe(io.clock.now(), own, others)) {
            dispatcher.deferAttempts(endpoints.idsOf(destination), PROBE_DEFERRAL_NS);
        }
    }

    private static BreakerState state(elderseam.policy.BreakerState own) {
        return switch (own) {
            case CLOSED -> BreakerState.CLOSED;
            case HALF_OPEN -> BreakerState.HALF_OPEN;
            case OPEN -> BreakerState.OPEN;
        };
    }

    private static BreakerState state(HealthReport.State reported) {
        return switch (reported) {
            case CLOSED -> BreakerState.CLOSED;
            case HALF_OPEN -> BreakerState.HALF_OPEN;
            case OPEN -> BreakerState.OPEN;
        };
    }
}
