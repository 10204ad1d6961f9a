package elderseam.app;

import elderseam.core.Clock;
import elderseam.core.RequestDispatcher;
import elderseam.fleet.selftest.FaultTestHistory;
import elderseam.fleet.selftest.GossipOnlyLease;
import elderseam.gossip.GossipAgent;
import elderseam.gossip.GossipTimings;
import elderseam.gossip.HealthReport;
import elderseam.gossip.MemberState;
import elderseam.gossip.MembershipUpdate;
import elderseam.gossip.security.Roster;
import elderseam.gossip.transport.GossipConfiguration;
import elderseam.gossip.transport.GossipTransport;
import elderseam.http.IoLoop;
import elderseam.policy.BreakerState;
import elderseam.settings.SettingKeys;
import elderseam.settings.Settings;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Wires the gossip to the relay; where it is off this class is not loaded. */
final class GossipService implements PartitionService.Members {
    private static final Map<BreakerState, HealthReport.State> STATES = Map.of(
            BreakerState.CLOSED,
            HealthReport.State.CLOSED,
            BreakerState.HALF_OPEN,
            HealthReport.State.HALF_OPEN,
            BreakerState.OPEN,
            HealthReport.State.OPEN);

    private final GossipConfiguration opening;
    private final RequestDispatcher relay;
    private final GossipTransport post;
    private boolean weigh;

    private boolean left;

    /** Reads key and roster, and binds; faults end the start. */
    GossipService(IoLoop io, Settings s, RequestDispatcher relay) throws IOException {
        this.opening = GossipConfiguration.read(s);
        this.relay = relay;
        this.weigh = weighs(s);
        this.post = new GossipTransport(
                io,
                opening.place(),
                opening.keys(),
                GossipTimings.USUAL,
                new GossipTransport.Ties(this::own, this::advise, words -> System.err.println("gossip: " + words)));
        if (!s.get(SettingKeys.REHEARSAL_GOSSIP_LEASE).equals("off")) {
            GossipOnlyLease lease = new GossipOnlyLease(
                    opening.place().name(),
                    Long.toString(io.clock.wallMs(), 36),
                    s.get(SettingKeys.REHEARSAL_GOSSIP_LEASE).equals("majority"),
                    opening.keys().roster().all().size(),
                    new FaultTestHistory(
                            Path.of(s.get(SettingKeys.REHEARSAL_HISTORY)),
                            opening.place().name()));
            look(io, lease);
        }
    }

    /** A rehearsal's lease by what gossip shows alone. */
    private void look(IoLoop io, GossipOnlyLease lease) {
        if (!left) {
            lease.look(others(), io.clock.wallMs());
            io.at(io.clock.now() + GossipOnlyLease.LOOK_NS / 2, () -> look(io, lease));
        }
    }

    private static boolean weighs(Settings s) {
        return s.get(SettingKeys.GOSSIP_WEIGH).equals("on");
    }

    private List<GossipAgent.Own> own() {
        List<GossipAgent.Own> all = new ArrayList<>();
        relay.forEachBreaker((destination, b) -> all.add(new GossipAgent.Own(
                destination,
                STATES.get(b.state()),
                (int) Math.max(0, Math.min(Integer.MAX_VALUE, b.waitNs() / Clock.MS)),
                b.calls(),
                b.failures())));
        return all;
    }

    private void advise(long destination, GossipAgent.Word word) {
        relay.advise(destination, weigh ? word.doubt() : 0, weigh ? word.trying() : 0);
    }

    @Override
    public String self() {
        return opening.place().name();
    }

    @Override
    public List<String> present() {
        List<String> all = new ArrayList<>(others());
        all.add(self());
        return all;
    }

    private List<String> others() {
        return post.members().stream()
                .filter(m -> (m.standing() == MemberState.ALIVE || m.standing() == MemberState.SUSPECT)
                        && !m.member().equals(self()))
                .map(MembershipUpdate::member)
                .toList();
    }

    @Override
    public List<HealthReport> claims(long destination) {
        return post.claims(destination);
    }

    /** Reads what its settings name; what applies it, whole. */
    Runnable reload(Settings fresh) throws IOException {
        if (fresh.get(SettingKeys.GOSSIP_LISTEN).equals("off")) { // from the next start; until then it goes on as it is
            return () -> {};
        }
        Roster roster = GossipConfiguration.roster(fresh, opening.place().name(), opening.key());
        return () -> {
            weigh = weighs(fresh);
            post.ceiling(fresh.get(SettingKeys.GOSSIP_BYTES), fresh.get(SettingKeys.GOSSIP_DATAGRAMS));
            post.roster(roster);
            System.err.println("gossip: " + post.counts());
        };
    }

    /** Says good-bye to the fleet. */
    void leave() {
        left = true;
        post.leave();
    }
}
