package elderseam.app;

import elderseam.core.Clock;
import elderseam.core.RequestDispatcher;
import elderseam.fleet.selftest.FaultTestHistory;
import elderseam.fleet.selftest.GossipOnlyLease;
import elderseam.gossip.Advice;
import elderseam.gossip.GossipTimings;
import elderseam.gossip.HealthReport;
import elderseam.gossip.MembershipUpdate;
import elderseam.gossip.OwnBreaker;
import elderseam.gossip.security.Roster;
import elderseam.gossip.transport.GossipConfiguration;
import elderseam.gossip.transport.GossipListener;
import elderseam.gossip.transport.GossipTransport;
import elderseam.http.IoLoop;
import elderseam.policy.BreakerState;
import elderseam.policy.BreakerView;
import elderseam.settings.SettingKeys;
import elderseam.settings.Settings;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Gossip in a running dispatcher: publishes the states of its breakers, and tells the policy what other members
 * suspect. Confined to the I/O thread; not loaded where gossip is off.
 */
final class GossipService implements PartitionMembers {

    private static final Map<BreakerState, HealthReport.State> REPORTED_STATES = Map.of(
            BreakerState.CLOSED, HealthReport.State.CLOSED,
            BreakerState.HALF_OPEN, HealthReport.State.HALF_OPEN,
            BreakerState.OPEN, HealthReport.State.OPEN);

    private static final int INCARNATION_RADIX = 36;

    private final GossipListener eventLog = new GossipEventLog();
    private final IoLoop io;
    private final RequestDispatcher dispatcher;
    private final GossipConfiguration configuration;
    private final GossipTransport transport;
    private boolean appliesAdvice;
    private boolean left;

    /**
     * Reads the key and the roster, and binds.
     *
     * @throws IOException if one of them, or the address, can't be used
     */
    GossipService(IoLoop io, Settings settings, RequestDispatcher dispatcher) throws IOException {
        this.io = io;
        this.dispatcher = dispatcher;
        this.configuration = GossipConfiguration.read(settings);
        this.appliesAdvice = appliesAdvice(settings);
        GossipTransport.Callbacks callbacks = new GossipTransport.Callbacks(this::ownReports, this::advise, eventLog);
        this.transport = new GossipTransport(
                io, configuration.transport(), configuration.keyring(), GossipTimings.DEFAULTS, callbacks);
        if (!settings.get(SettingKeys.REHEARSAL_GOSSIP_LEASE).equals("off")) {
            updateTestLease(testLease(settings));
        }
    }

    /** A fault test's lease, granted by what gossip shows alone. */
    private GossipOnlyLease testLease(Settings settings) throws IOException {
        String name = self();
        String incarnation = Long.toString(io.clock.wallMs(), INCARNATION_RADIX);
        boolean needsMajority = settings.get(SettingKeys.REHEARSAL_GOSSIP_LEASE).equals("majority");
        int memberCount = configuration.keyring().roster().all().size();
        FaultTestHistory history = new FaultTestHistory(Path.of(settings.get(SettingKeys.REHEARSAL_HISTORY)), name);
        return new GossipOnlyLease(name, incarnation, needsMajority, memberCount, history);
    }

    private void updateTestLease(GossipOnlyLease lease) {
        if (!left) {
            lease.observe(others(), io.clock.wallMs());
            io.at(io.clock.now() + GossipOnlyLease.VIEW_VALID_NS / 2, () -> updateTestLease(lease));
        }
    }

    private static boolean appliesAdvice(Settings settings) {
        return settings.get(SettingKeys.GOSSIP_WEIGH).equals("on");
    }

    private List<OwnBreaker> ownReports() {
        List<OwnBreaker> reports = new ArrayList<>();
        dispatcher.forEachBreaker((destination, breaker) -> reports.add(ownReport(destination, breaker)));
        return reports;
    }

    private static OwnBreaker ownReport(long destination, BreakerView breaker) {
        long waitMs = Math.max(0, Math.min(Integer.MAX_VALUE, breaker.waitNs() / Clock.MILLISECOND_NS));
        return new OwnBreaker(
                destination, REPORTED_STATES.get(breaker.state()), (int) waitMs, breaker.calls(), breaker.failures());
    }

    /** What is not applied is taken back: advice of before must not stay. */
    private void advise(long destination, Advice advice) {
        dispatcher.applyHealthReports(
                destination, appliesAdvice ? advice.suspicion() : 0, appliesAdvice ? advice.trialCallers() : 0);
    }

    @Override
    public String self() {
        return configuration.transport().name();
    }

    @Override
    public List<String> present() {
        List<String> present = new ArrayList<>(others());
        present.add(self());
        return present;
    }

    private List<String> others() {
        return transport.members().stream()
                .filter(member -> member.state().isPresent() && !member.member().equals(self()))
                .map(MembershipUpdate::member)
                .toList();
    }

    @Override
    public List<HealthReport> reports(long destination) {
        return transport.currentReports(destination);
    }

    /**
     * Reads what fresh settings name; the result applies it, on the I/O thread. Gossip that was switched off goes on
     * until the next start.
     *
     * @throws IOException if the roster can't be used
     */
    Runnable reload(Settings fresh) throws IOException {
        if (fresh.get(SettingKeys.GOSSIP_LISTEN).equals("off")) {
            return () -> {};
        }
        Roster roster = GossipConfiguration.readRoster(fresh, self(), configuration.key());
        return () -> {
            appliesAdvice = appliesAdvice(fresh);
            transport.setSendLimits(
                    fresh.get(SettingKeys.GOSSIP_MOST_BYTES_PER_S), fresh.get(SettingKeys.GOSSIP_MOST_DATAGRAMS_PER_S));
            transport.setRoster(roster);
            eventLog.countsChanged(transport.counts());
        };
    }

    /** Tells the other members that this one leaves, and sends nothing more. */
    void leave() {
        left = true;
        transport.leave();
    }
}
