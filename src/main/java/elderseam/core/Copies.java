package elderseam.core;

import java.util.List;
import java.util.Map;

/** Carries out what {@link Twins} decides on messages that an operator's key says are the same: journal, answers and times. */
final class Copies {
    private final Journal journal;
    private final Clock clock;
    private final Loop loop;
    private final Map<Byte, Front> fronts;
    private final Figures figures;
    private final Twins twins = new Twins();

    Copies(Journal journal, Clock clock, Loop loop, Map<Byte, Front> fronts, Figures figures) {
        this.journal = journal;
        this.clock = clock;
        this.loop = loop;
        this.fronts = fronts;
        this.figures = figures;
    }

    /** It is the first of its key. */
    void leads(Stream s) {
        twins.leads(s);
    }

    /** The message under way that has one of these keys, or null. */
    Stream first(String same, List<String> also) {
        return twins.first(same, also);
    }

    /** How one with one of these keys ended, or null. */
    Answer answerOf(String same, List<String> also) {
        Answer a = journal.answerOf(same);
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
    boolean join(Stream.Message m, Stream first) {
        Stream.Message copy = new Stream.Message(
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

    private void waits(Stream.Message copy, Stream first) {
        twins.joins(copy, first);
        long left = copy.deadline() - clock.now();
        loop.at(copy.deadline() - Math.min(Relay.TELLING_NS, Math.max(0, left / 2)), () -> {
            Answer answer = twins.expired(copy, Relay.ROOM_AGAIN_NS);
            if (answer != null) {
                end(copy, answer);
                fronts.get(copy.front()).tell();
            }
        });
    }

    /** Those that waited when the process ended: they wait on, or have that end, or the first was refused, and so are they. */
    void recover() {
        for (Stream.Message m : journal.joined()) {
            Stream first = twins.first(m.same(), List.of());
            if (first != null) {
                waits(m, first);
            } else {
                Answer known = journal.answerOf(m.same());
                end(m, known == null ? Answer.refused(Relay.ROOM_AGAIN_NS) : known);
            }
        }
    }

    /** The end of the first is that of all its copies. */
    void ended(Stream first, Answer answer) {
        twins.ended(first).forEach(m -> end(m, answer));
    }

    private void end(Stream.Message m, Answer answer) {
        figures.ended(m.cls(), answer);
        journal.ended(m, answer, true);
        fronts.get(m.front()).ended(m, answer);
    }
}
