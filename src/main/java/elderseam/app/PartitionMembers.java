package elderseam.app;

import elderseam.gossip.HealthReport;
import java.util.List;

/** The members of the fleet among which capacity is divided, as one source knows them. Called on the I/O thread. */
interface PartitionMembers {
    /** This member's name, as it stands in {@link #present}. */
    String self();

    /** The members that are there, this one among them; a list of the caller's own. */
    List<String> present();

    /** What other members reported of a destination's breaker, as far as it still counts. */
    List<HealthReport> reports(long destination);
}
