package elderseam.app;

import static elderseam.logging.LogField.field;

import elderseam.gossip.MemberState;
import elderseam.gossip.transport.GossipListener;
import elderseam.logging.EventLogger;

/** Writes what gossip observes to the server's log. */
final class GossipEventLog implements GossipListener {
    private static final EventLogger LOG = EventLogger.of(GossipEventLog.class);

    @Override
    public void started(String name, String address) {
        LOG.info("gossip.started", field("name", name), field("address", address));
    }

    @Override
    public void memberChanged(String member, MemberState state) {
        LOG.info("gossip.member_changed", field("member", member), field("state", state));
    }

    @Override
    public void memberRemoved(String member) {
        LOG.info("gossip.member_removed", field("member", member));
    }

    @Override
    public void countsChanged(String counts) {
        LOG.info("gossip.counts", field("counts", counts));
    }
}
