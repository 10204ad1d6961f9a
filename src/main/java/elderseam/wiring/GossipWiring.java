package elderseam.wiring;

import elderseam.core.Clock;
import elderseam.core.Relay;
import elderseam.fleet.History;
import elderseam.fleet.rig.GossipLease;
import elderseam.gossip.Agent;
import elderseam.gossip.Claim;
import elderseam.gossip.Rumour;
import elderseam.gossip.Standing;
import elderseam.gossip.Tempo;
import elderseam.gossip.net.Opening;
import elderseam.gossip.net.Post;
import elderseam.gossip.trust.Roster;
import elderseam.http.Io;
import elderseam.module.Sender;
import elderseam.settings.Keys;
import elderseam.settings.Settings;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Wires the gossip to the relay; where it is off this class is not loaded. */
final class GossipWiring implements ShareWiring.Members {
    private static final Map<Sender.Standing, Claim.State> STATES = Map.of(
            Sender.Standing.CLOSED,
            Claim.State.CLOSED,
            Sender.Standing.HALF_OPEN,
            Claim.State.HALF_OPEN,
            Sender.Standing.OPEN,
            Claim.State.OPEN);

    private final Opening opening;
    private final Relay relay;
    private final Post post;
    private boolean weigh;

    private boolean left;

    /** Reads key and roster, and binds; faults end the start. */
    GossipWiring(Io io, Settings s, Relay relay) throws IOException {
        this.opening = Opening.read(s);
        this.relay = relay;
        this.weigh = weighs(s);
        this.post = new Post(
                io,
                opening.place(),
                opening.keys(),
                Tempo.USUAL,
                new Post.Ties(this::own, this::advise, words -> System.err.println("gossip: " + words)));
        if (!s.get(Keys.REHEARSAL_GOSSIP_LEASE).equals("off")) {
            GossipLease lease = new GossipLease(
                    opening.place().name(),
                    Long.toString(io.clock.wallMs(), 36),
                    s.get(Keys.REHEARSAL_GOSSIP_LEASE).equals("majority"),
                    opening.keys().roster().all().size(),
                    new History(
                            Path.of(s.get(Keys.REHEARSAL_HISTORY)),
                            opening.place().name()));
            look(io, lease);
        }
    }

    /** A rehearsal's lease by what gossip shows alone. */
    private void look(Io io, GossipLease lease) {
        if (!left) {
            lease.look(others(), io.clock.wallMs());
            io.at(io.clock.now() + GossipLease.LOOK_NS / 2, () -> look(io, lease));
        }
    }

    private static boolean weighs(Settings s) {
        return s.get(Keys.GOSSIP_WEIGH).equals("on");
    }

    private List<Agent.Own> own() {
        List<Agent.Own> all = new ArrayList<>();
        relay.breakers((destination, b) -> all.add(new Agent.Own(
                destination,
                STATES.get(b.standing()),
                (int) Math.max(0, Math.min(Integer.MAX_VALUE, b.waitNs() / Clock.MS)),
                b.calls(),
                b.failed())));
        return all;
    }

    private void advise(long destination, Agent.Word word) {
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
                .filter(m -> (m.standing() == Standing.ALIVE || m.standing() == Standing.SUSPECT)
                        && !m.member().equals(self()))
                .map(Rumour::member)
                .toList();
    }

    @Override
    public List<Claim> claims(long destination) {
        return post.claims(destination);
    }

    /** Reads what its settings name; what applies it, whole. */
    Runnable reload(Settings fresh) throws IOException {
        if (fresh.get(Keys.GOSSIP_LISTEN).equals("off")) { // from the next start; until then it goes on as it is
            return () -> {};
        }
        Roster roster = Opening.roster(fresh, opening.place().name(), opening.key());
        return () -> {
            weigh = weighs(fresh);
            post.ceiling(fresh.get(Keys.GOSSIP_BYTES), fresh.get(Keys.GOSSIP_DATAGRAMS));
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
