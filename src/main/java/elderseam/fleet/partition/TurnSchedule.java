package elderseam.fleet.partition;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/**
 * Decides without coordination which member performs a task on behalf of all: the participant whose name has the lowest
 * hash in combination with the task (rendezvous hashing). Two members that know different participants may both
 * conclude that it is their turn. The schedule is therefore only for tasks where duplicate execution merely costs more,
 * never for tasks that must be performed only once; those need leases. A member loses its turn when the others no
 * longer hear from it.
 *
 * <p>Stateless and thread-safe.
 */
public final class TurnSchedule {
    private TurnSchedule() {}

    /** Returns the member whose turn it is; empty if there are no participants. */
    public static Optional<String> owner(String task, Collection<String> participants) {
        return participants.stream().min(orderOf(task));
    }

    /** Returns a member's position in the order of turns, from 0. */
    public static int position(String task, Collection<String> participants, String member) {
        Comparator<String> order = orderOf(task);
        int position = 0;
        for (String participant : participants) {
            if (order.compare(participant, member) < 0) {
                position++;
            }
        }
        return position;
    }

    private static Comparator<String> orderOf(String task) {
        Comparator<String> byHash =
                Comparator.comparingLong(member -> Hashing.wyhashFinal4().hashCharsToLong(task + '\n' + member));
        return byHash.thenComparing(Comparator.naturalOrder());
    }
}
