package elderseam.gossip;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * The members as this one holds them, and how what others say changes that: the state machine of SWIM's suspicions and
 * incarnations with Lifeguard's suspicion times. It says on what is news, and defends its own member. No probe and no timer is
 * here; {@link Membership} has those.
 */
final class Roll {
    private static final int MOST_SUBJECTS = 1_024;

    private final String self, address;
    private final Tempo tempo;
    private final BiConsumer<String, Standing> changed;
    private final Consumer<Member> joined;
    private final Runnable accused;
    private final Map<String, Member> members = new LinkedHashMap<>(); // not this one
    private final Spread<Rumour> rumours = new Spread<>(MOST_SUBJECTS, Rumour::bytes);
    private long incarnation;
    /** The same members, so that one can be drawn; those that wait for something: suspects for their end, others to be forgotten. */
    private final List<Member> list = new ArrayList<>();

    private final Map<String, Member> waiting = new LinkedHashMap<>();
    private int there; // members that are neither dead nor left

    /** {@code joined}: told of each new member before {@code changed} is; {@code accused}: run when this one hears itself
     *  suspected. */
    Roll(
            String self,
            String address,
            long incarnation,
            Tempo tempo,
            BiConsumer<String, Standing> changed,
            Consumer<Member> joined,
            Runnable accused) {
        this.self = self;
        this.address = address;
        this.incarnation = incarnation;
        this.tempo = tempo;
        this.changed = changed;
        this.joined = joined;
        this.accused = accused;
        rumours.say(self, own(Standing.ALIVE));
    }

    /** What this member says of itself. */
    Rumour own(Standing standing) {
        return new Rumour(self, address, standing, incarnation, self);
    }

    /** What this member says of another. */
    Rumour of(Member m) {
        String from = m.standing == Standing.SUSPECT || m.standing == Standing.DEAD ? self : m.name;
        return new Rumour(m.name, m.address, m.standing, m.incarnation, from);
    }

    List<Member> all() {
        return list;
    }

    /** Suspects, dead and left ones. */
    Collection<Member> notAlive() {
        return waiting.values();
    }

    Member get(String name) {
        return members.get(name);
    }

    boolean holds(Member m) {
        return members.get(m.name) == m;
    }

    /** Those present, with this member. */
    int present() {
        return 1 + there;
    }

    Spread<Rumour> rumours() {
        return rumours;
    }

    /** When a suspicion ends in death. */
    long deadAt(Member m) {
        int confirmations = Math.max(0, m.confirmed.size() - 1);
        return m.since + tempo.suspicionNs(present(), Math.min(confirmations, tempo.expected(present())));
    }

    /** Suspicions end, and those long gone are forgotten. */
    void tick(long now) {
        for (Member m : waiting.isEmpty() ? List.<Member>of() : List.copyOf(waiting.values())) {
            if (m.standing == Standing.SUSPECT && now >= deadAt(m)) {
                become(m, Standing.DEAD, m.incarnation, now);
                say(m);
            } else if (!m.there() && now - m.since >= tempo.forgetNs()) {
                forget(m);
            }
        }
    }

    /** The whole state, with this member as {@code own}. */
    List<Rumour> state(Standing own) {
        List<Rumour> all = new ArrayList<>();
        all.add(own(own));
        members.values().forEach(m -> all.add(of(m)));
        return all;
    }

    /** Another's whole state; its dead are only suspects here, so that they may speak for themselves. */
    void merge(List<Rumour> state, long now) {
        for (Rumour r : state) {
            hear(
                    r.standing() == Standing.DEAD
                            ? new Rumour(r.member(), r.address(), Standing.SUSPECT, r.incarnation(), r.from())
                            : r,
                    now);
        }
    }

    void hear(Rumour r, long now) {
        Member m = members.get(r.member());
        if (r.member().equals(self)) {
            hearOfSelf(r);
        } else if (m == null) {
            hearOfNew(r, now);
        } else if (r.standing() == Standing.ALIVE) {
            if (r.incarnation() > m.incarnation) {
                m.address = r.address();
                become(m, Standing.ALIVE, r.incarnation(), now);
                say(m);
            }
        } else if (r.incarnation() >= m.incarnation && m.there()) {
            if (r.standing() == Standing.SUSPECT) {
                suspect(m, r.incarnation(), r.from(), now);
            } else {
                become(m, r.standing(), r.incarnation(), now);
                say(m);
            }
        }
    }

    private void hearOfNew(Rumour r, long now) {
        if (r.standing() == Standing.DEAD || r.standing() == Standing.LEFT) {
            return;
        }
        Member m = new Member(r.member(), r.address(), r.incarnation(), now);
        members.put(m.name, m);
        m.at = list.size();
        list.add(m);
        there++;
        joined.accept(m);
        changed.accept(m.name, Standing.ALIVE);
        say(m);
        if (r.standing() == Standing.SUSPECT) {
            suspect(m, r.incarnation(), r.from(), now);
        }
    }

    private void hearOfSelf(Rumour r) {
        boolean wrong = r.standing() != Standing.ALIVE && r.incarnation() >= incarnation
                || r.standing() == Standing.ALIVE
                        && (r.incarnation() > incarnation
                                || r.incarnation() == incarnation
                                        && !r.address().equals(address));
        if (wrong) {
            incarnation = r.incarnation() + 1;
            if (r.standing() == Standing.SUSPECT) {
                accused.run();
            }
            rumours.say(self, own(Standing.ALIVE));
        }
    }

    /** One more suspects it; the first begins the suspicion, later ones shorten it, as many as count. */
    void suspect(Member m, long atIncarnation, String from, long now) {
        if (m.standing != Standing.SUSPECT || atIncarnation != m.incarnation) {
            become(m, Standing.SUSPECT, atIncarnation, now);
        } else if (m.confirmed.size() > tempo.expected(present()) || m.confirmed.contains(from)) {
            return;
        }
        m.confirmed.add(from);
        rumours.say(m.name, new Rumour(m.name, m.address, Standing.SUSPECT, m.incarnation, from));
    }

    private void become(Member m, Standing standing, long atIncarnation, long now) {
        Standing before = m.standing;
        there -= m.there() ? 1 : 0;
        m.standing = standing;
        there += m.there() ? 1 : 0;
        m.incarnation = atIncarnation;
        m.since = now;
        m.confirmed.clear();
        if (standing == Standing.ALIVE) {
            waiting.remove(m.name);
        } else {
            waiting.put(m.name, m);
        }
        if (before != standing) {
            changed.accept(m.name, standing);
        }
    }

    private void say(Member m) {
        rumours.say(m.name, of(m));
    }

    /** One that is not on the roster any more. */
    void remove(String name) {
        Member m = members.get(name);
        if (m != null) {
            there -= m.there() ? 1 : 0;
            forget(m);
        }
    }

    private void forget(Member m) {
        members.remove(m.name);
        waiting.remove(m.name);
        Member last = list.remove(list.size() - 1);
        if (last != m) {
            list.set(m.at, last);
            last.at = m.at;
        }
        rumours.forget(m.name);
    }
}
