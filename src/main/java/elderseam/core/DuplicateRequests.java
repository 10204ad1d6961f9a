package elderseam.core;

import java.util.List;
import java.util.Map;

/** Carries out what {@link DuplicateIndex} decides on messages that an operator's key says are the same: journal, answers and times. */
final class DuplicateRequests {
    private final Journal journal;
    private final Clock clock;
    private final EventLoop loop;
    private final Map<Byte, Frontend> fronts;
    private final Metrics figures;
    private final DuplicateIndex twins = new DuplicateIndex();

    DuplicateRequests(Journal journal, Clock clock, EventLoop loop, Map<Byte, Frontend> fronts, Metrics figures) {
        this.journal = journal;
        this.clock = clock;
        this.loop = loop;
        this.fronts = fronts;
        this.figures = figures;
    }

    /** It is the first of its key. */
    void leads(ActiveRequest s) {
        twins.leads(s);
    }

    /** The message under way that has one of these keys, or null. */
    ActiveRequest first(String same, List<String> also) {
        return twins.first(same, also);
    }

    /** How one with one of these keys ended, or null. */
    FinalOutcome answerOf(String same, List<String> also) {
        FinalOutcome a = journal.answerOf(same);
        for (int i = 0; a == null && i < also.size(); i++) {
            a = journal.answerOf(also.get(i));
        }
        return a;
    }

    int size() {
        return twins.size();
    }

    boolean waits(String id) {
        return twins.waits(id);
    }

    /** It waits for the end of that one from now on, journalled before anybody is told so; false where there is no room for that. */
    boolean join(ActiveRequest.Message m, ActiveRequest first) {
        ActiveRequest.Message copy = new ActiveRequest.Message(
                m.id(),
                m.front(),
                m.cls(),
                m.tenant(),
                m.destination(),
                m.deadline(),
                m.rememberUntil(),
                m.again(),
                m.heedsWindow(),
                "",
                new byte[0],
                first.message.same()); // nobody will send it
        if (!journal.joined(copy)) {
            return false;
        }
        waits(copy, first);
        return true;
    }

    private void waits(ActiveRequest.Message copy, ActiveRequest first) {
        twins.joins(copy, first);
        long left = copy.deadline() - clock.now();
        loop.at(copy.deadline() - Math.min(RequestDispatcher.TELLING_NS, Math.max(0, left / 2)), () -> {
            FinalOutcome answer = twins.expired(copy, RequestDispatcher.ROOM_AGAIN_NS);
            if (answer != null) {
                end(copy, answer);
                fronts.get(copy.front()).tell();
            }
        });
    }

    /** Those that waited when the process ended: they wait on, or have that end, or the first was refused, and so are they. */
    void recover() {
        for (ActiveRequest.Message m : journal.joined()) {
            ActiveRequest first = twins.first(m.same(), List.of());
            if (first != null) {
                waits(m, first);
            } else {
                FinalOutcome known = journal.answerOf(m.same());
                end(m, known == null ? FinalOutcome.refused(RequestDispatcher.ROOM_AGAIN_NS) : known);
            }
        }
    }

    /** The end of the first is that of all its copies. */
    void ended(ActiveRequest first, FinalOutcome answer) {
        twins.ended(first).forEach(m -> end(m, answer));
    }

    private void end(ActiveRequest.Message m, FinalOutcome answer) {
        figures.ended(m.cls(), answer);
        journal.ended(m, answer, true);
        fronts.get(m.front()).ended(m, answer);
    }
}
