package elderseam.fleet.partition;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Collection;
import java.util.Comparator;

/**
 * Whose turn a task is that one member does for all, where nothing agrees on it: the member that hashes first with the task
 * among those that take part, as far as this one knows of them. Two members that know of different ones may both think it
 * theirs, so it is for tasks that are only dearer when done twice, never for one that must be done once; for those there are
 * leases. What falls out of the turn is whoever is not heard of any more.
 */
public final class TurnSchedule {
    private TurnSchedule() {}

    /** Who does it, or null where nobody takes part. */
    public static String owner(String task, Collection<String> taking) {
        return taking.stream()
                .min(Comparator.comparingLong(
                                (String m) -> Hashing.wyhashFinal4().hashCharsToLong(task + '\n' + m))
                        .thenComparing(m -> m))
                .orElse(null);
    }

    /** Where in the order a member stands, from 0. */
    public static int place(String task, Collection<String> taking, String member) {
        long own = Hashing.wyhashFinal4().hashCharsToLong(task + '\n' + member);
        int before = 0;
        for (String m : taking) {
            long h = Hashing.wyhashFinal4().hashCharsToLong(task + '\n' + m);
            before += !m.equals(member) && (h < own || h == own && m.compareTo(member) < 0) ? 1 : 0;
        }
        return before;
    }
}
