package elderseam.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Messages that an operator's key says are the same: the first of them is under way, the others wait for its end. Decisions
 * without I/O; {@link RequestDispatcher} carries them out.
 */
final class DuplicateIndex {
    private record Pending(ActiveRequest first, List<ActiveRequest.Message> others) {}

    private final Map<String, Pending> pending = new HashMap<>(); // by key
    private final Map<String, String> waiting = new HashMap<>(); // ids of the others, to their keys

    /** It is the first of its key. */
    void leads(ActiveRequest s) {
        pending.put(s.message.same(), new Pending(s, new ArrayList<>(1)));
    }

    /** The message under way that has one of these keys, or null. */
    ActiveRequest first(String same, List<String> also) {
        Pending p = pending.get(same);
        for (int i = 0; p == null && i < also.size(); i++) {
            p = pending.get(also.get(i));
        }
        return p == null ? null : p.first;
    }

    /** It waits for the end of that one from now on. */
    void joins(ActiveRequest.Message m, ActiveRequest first) {
        pending.get(first.message.same()).others.add(m);
        waiting.put(m.id(), first.message.same());
    }

    boolean waits(String id) {
        return waiting.containsKey(id);
    }

    int size() {
        return waiting.size();
    }

    /** Those that waited for it, in the order in which they came. */
    List<ActiveRequest.Message> ended(ActiveRequest first) {
        Pending p = pending.get(first.message.same());
        if (p == null || p.first != first) {
            return List.of();
        }
        pending.remove(first.message.same());
        p.others.forEach(m -> waiting.remove(m.id()));
        return p.others;
    }

    /**
     * The time of one that still waits is up: its answer, or null where it has had one. It can't have run where the first surely
     * has not, and may come again then; else nobody knows.
     */
    FinalOutcome expired(ActiveRequest.Message m, long againNs) {
        String same = waiting.remove(m.id());
        if (same == null) {
            return null;
        }
        Pending p = pending.get(same);
        p.others.removeIf(o -> o.id().equals(m.id()));
        return p.first.mayHaveRun || p.first.out != null ? FinalOutcome.FAILED : FinalOutcome.refused(againNs);
    }
}
