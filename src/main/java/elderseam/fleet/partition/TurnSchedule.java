package elderseam.fleet.partition;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/**
 * Whose turn a task is that one member performs for all, without coordination: of the participants, the member whose name
 * hashes lowest together with the task (rendezvous hashing). Two members that know of different participants may both
 * consider it theirs. So this is for tasks that only cost more when performed twice, never for one that must be performed
 * once; those need leases. A member that is not heard of any more loses its turn.
 *
 * <p>Stateless and thread-safe.
 */
public final class TurnSchedule {
    private TurnSchedule() {}

    /** Returns whose turn it is; empty if nobody takes part. */
    public static Optional<String> owner(String task, Collection<String> participants) {
        return participants.stream().min(orderOf(task));
    }

    /** Returns a member's position in the order of turns, from 0. */
    public static int position(String task, Collection<String> participants, String member) {
        Comparator<String> order = orderOf(task);
        int before = 0;
        for (String participant : participants) {
            if (order.compare(participant, member) < 0) {
                before++;
            }
        }
        return before;
    }

    private static Comparator<String> orderOf(String task) {
        Comparator<String> byHash =
                Comparator.comparingLong(member -> Hashing.wyhashFinal4().hashCharsToLong(task + '\n' + member));
        return byHash.thenComparing(Comparator.naturalOrder());
    }
}
