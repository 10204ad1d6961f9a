package elderseam.app;

import static elderseam.logging.LogField.error;

import elderseam.core.Clock;
import elderseam.core.JsonValue;
import elderseam.fleet.lease.LeaseTable;
import elderseam.fleet.lease.LeaseValidity;
import elderseam.fleet.lease.LeasedTask;
import elderseam.frontend.platform.DiscoveryWatcher;
import elderseam.logging.EventLogger;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * One member watches discovery for all: the holder of {@link #LEASE} publishes the endpoint list, the others take it
 * from there. Confined to the I/O thread.
 */
final class LeasedDiscoveryWatch {
    private static final EventLogger LOG = EventLogger.of(LeasedDiscoveryWatch.class);

    /** The lease's name in the group. */
    static final String LEASE = "discovery";

    /** Without news of the holder for this long each member watches for itself. */
    private static final long STALE_AFTER_NS = 2 * DiscoveryWatcher.maxAnswerIntervalNs();

    private final Clock clock;
    private final DiscoveryWatcher discovery;
    private final LeaseService leases;
    private final LeasedTask task = new LeasedTask(STALE_AFTER_NS);
    private boolean watches = true;
    private JsonValue latestList; // as the holder published it; null before

    LeasedDiscoveryWatch(Clock clock, DiscoveryWatcher discovery, LeaseService leases) {
        this.clock = clock;
        this.discovery = discovery;
        this.leases = leases;
        discovery.onAnswer(this::publish);
    }

    /**
     * Discovery has answered: the holder publishes the list. One that is too long leaves each member to its own watch.
     */
    private void publish() {
        Optional<LeaseValidity> lease = leases.lease(LEASE);
        if (lease.isEmpty()) {
            return;
        }
        String list = discovery.encodedList();
        if (list.length() <= LeaseTable.MAX_VALUE_CHARS) {
            var unused = leases.publish(LEASE, lease.get(), list);
        }
    }

    /** The holder has published a list, in discovery's format. */
    void onPublished(String list) {
        try {
            latestList = JsonValue.read(list.getBytes(StandardCharsets.UTF_8));
        } catch (IOException e) {
            LOG.warn("discovery.published_list_invalid", error(e));
            return;
        }
        task.onPublished(clock.now());
        discovery.applyPeerList(latestList);
    }

    /** Begins or ends this member's own watch. */
    void check() {
        boolean shouldWatch =
                task.isPerformedHere(clock.now(), leases.lease(LEASE).isPresent());
        if (shouldWatch == watches) {
            return;
        }
        watches = shouldWatch;
        if (watches) {
            LOG.info("discovery.watch_started");
            discovery.resume();
        } else {
            LOG.info("discovery.watch_delegated");
            discovery.suspend();
            discovery.applyPeerList(latestList);
        }
    }
}
