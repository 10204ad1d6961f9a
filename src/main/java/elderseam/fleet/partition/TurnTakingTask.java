package elderseam.fleet.partition;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Whether a member leaves the trial of a destination whose breaker is open to another, by what the others say of theirs. Those
 * whose breakers are open too take part; the one whose turn it is ({@link TurnSchedule}) tries, the others wait until it says that its
 * breaker is closed, or until it takes part no longer: its words have grown old, it has left, or it stood ready for so long
 * without a trial that it has nothing to try with. No I/O; times are nanoseconds of the member's clock.
 */
public final class TurnTakingTask {
    /** How a breaker stands, a member's own or as it says. */
    public enum Standing {
        CLOSED,
        HALF_OPEN,
        OPEN
    }

    /** What another member says, as far as it counts yet. */
    public record Other(String member, Standing standing) {}

    private final String task, self;
    private final long idleNs;
    private final Map<String, Long> readySince = new HashMap<>();
    private Set<String> took = new HashSet<>();
    private boolean back;

    /** {@code task}: the destination's name, the same on all; {@code idleNs}: a member may be ready so long without a trial. */
    public TurnTakingTask(String task, String self, long idleNs) {
        this.task = task;
        this.self = self;
        this.idleNs = idleNs;
    }

    /** Whether no trial of its own is to begin now. */
    public boolean defers(long now, Standing own, List<Other> others) {
        if (own == Standing.CLOSED) {
            took.clear();
            readySince.clear();
            back = false;
            return false;
        }
        List<String> taking = new ArrayList<>(List.of(self));
        Set<String> takes = new HashSet<>();
        for (Other o : others) {
            if (o.standing == Standing.CLOSED) {
                back |= took.contains(o.member); // it was down for that one in this outage, and is no more
                continue;
            }
            takes.add(o.member);
            long since = o.standing == Standing.HALF_OPEN ? readySince.computeIfAbsent(o.member, m -> now) : now;
            if (o.standing == Standing.OPEN) {
                readySince.remove(o.member);
            }
            if (now - since <= idleNs) {
                taking.add(o.member);
            }
        }
        readySince.keySet().retainAll(takes);
        took = takes;
        return !back && !self.equals(TurnSchedule.owner(task, taking));
    }
}
