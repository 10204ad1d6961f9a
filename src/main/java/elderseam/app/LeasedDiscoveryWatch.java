package elderseam.app;

import elderseam.core.Clock;
import elderseam.core.JsonValue;
import elderseam.fleet.lease.LeaseTable;
import elderseam.fleet.lease.LeaseValidity;
import elderseam.fleet.lease.LeasedTask;
import elderseam.frontend.platform.DiscoveryWatcher;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/** One member watches discovery for all, by the lease {@link #LEASE}; of the I/O thread. */
final class LeasedDiscoveryWatch {
    static final String LEASE = "discovery";

    private final Clock clock;
    private final DiscoveryWatcher discovery;
    private final LeaseService fleet;
    private final LeasedTask duty = new LeasedTask(2 * DiscoveryWatcher.longestNs());
    private boolean watches = true;
    private JsonValue latest; // published by whoever watches

    LeasedDiscoveryWatch(Clock clock, DiscoveryWatcher discovery, LeaseService fleet) {
        this.clock = clock;
        this.discovery = discovery;
        this.fleet = fleet;
        discovery.onAnswer(this::pass);
    }

    /** Discovery has answered: the holder passes on what it knows. A list too long to pass on leaves each member to its own watch. */
    private void pass() {
        LeaseValidity t = fleet.tenure(LEASE);
        String list = t == null ? "" : discovery.list();
        if (t != null && list.length() <= LeaseTable.MAX_VALUE_CHARS) {
            fleet.publish(LEASE, t, list);
        }
    }

    void heard(String list) {
        try {
            latest = JsonValue.read(list.getBytes(StandardCharsets.UTF_8));
        } catch (IOException e) {
            System.err.println("fleet: a list that can't be read: " + e.getMessage());
            return;
        }
        duty.onPublished(clock.now());
        discovery.heard(latest);
    }

    void look() {
        boolean own = duty.isPerformedHere(clock.now(), fleet.tenure(LEASE) != null);
        if (own != watches) {
            watches = own;
            System.err.println("fleet: " + (own ? "watches discovery" : "another watches discovery"));
            if (own) {
                discovery.resume();
            } else {
                discovery.passOn();
                discovery.heard(latest);
            }
        }
    }
}
