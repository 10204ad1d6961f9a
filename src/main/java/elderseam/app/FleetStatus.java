package elderseam.app;

import elderseam.core.Clock;
import elderseam.fleet.lease.LeaseGroup;
import elderseam.fleet.lease.LeaseValidity;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

/** The answer to an operator's FLEET command: how this member sees the lease group, a line each. */
final class FleetStatus {
    private FleetStatus() {}

    /**
     * @param leader the group's leader as this member knows it
     * @param leaseNames the leases that this member requests
     * @param held the validity of a lease, where this member holds it
     * @param nowNs the time of the member's clock, in nanoseconds
     * @throws IOException if the member has left its group
     */
    static List<String> lines(
            LeaseGroup group,
            String leader,
            List<String> leaseNames,
            Function<String, Optional<LeaseValidity>> held,
            long nowNs)
            throws IOException {
        List<String> lines = new ArrayList<>();
        lines.add("self=" + group.holderId());
        lines.add("leader=" + leader);
        lines.add("engine=" + group.engineState());
        lines.add("timed_out=" + group.timedOutRequests());
        lines.add("members=" + String.join(" ", group.memberNames()));
        for (String name : leaseNames) {
            String state = held.apply(name)
                    .map(validity -> "held token " + validity.token() + " for "
                            + (validity.expiresAtNs() - nowNs) / Clock.MILLISECOND_NS + " ms")
                    .orElse("not held");
            lines.add("lease." + name + "=" + state);
        }
        lines.add("EOF");
        return lines;
    }
}
