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
final class MembershipTable {
    private static final int MOST_SUBJECTS = 1_024;

    private final String self, address;
    private final GossipTimings tempo;
    private final BiConsumer<String, MemberState> changed;
    private final Consumer<Member> joined;
    private final Runnable accused;
    private final Map<String, Member> members = new LinkedHashMap<>(); // not this one
    private final PiggybackQueue<MembershipUpdate> rumours =
            new PiggybackQueue<>(MOST_SUBJECTS, MembershipUpdate::bytes);
    private long incarnation;
    /** The same members, so that one can be drawn; those that wait for something: suspects for their end, others to be forgotten. */
    private final List<Member> list = new ArrayList<>();

    private final Map<String, Member> waiting = new LinkedHashMap<>();
    private int there; // members that are neither dead nor left

    /** {@code joined}: told of each new member before {@code changed} is; {@code accused}: run when this one hears itself
     *  suspected. */
    MembershipTable(
            String self,
            String address,
            long incarnation,
            GossipTimings tempo,
            BiConsumer<String, MemberState> changed,
            Consumer<Member> joined,
            Runnable accused) {
        this.self = self;
        this.address = address;
        this.incarnation = incarnation;
        this.tempo = tempo;
        this.changed = changed;
        this.joined = joined;
        this.accused = accused;
        rumours.say(self, own(MemberState.ALIVE));
    }

    /** What this member says of itself. */
    MembershipUpdate own(MemberState standing) {
        return new MembershipUpdate(self, address, standing, incarnation, self);
    }

    /** What this member says of another. */
    MembershipUpdate of(Member m) {
        String from = m.standing == MemberState.SUSPECT || m.standing == MemberState.DEAD ? self : m.name;
        return new MembershipUpdate(m.name, m.address, m.standing, m.incarnation, from);
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

    PiggybackQueue<MembershipUpdate> rumours() {
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
            if (m.standing == MemberState.SUSPECT && now >= deadAt(m)) {
                become(m, MemberState.DEAD, m.incarnation, now);
                say(m);
            } else if (!m.there() && now - m.since >= tempo.forgetNs()) {
                forget(m);
            }
        }
    }

    /** The whole state, with this member as {@code own}. */
    List<MembershipUpdate> state(MemberState own) {
        List<MembershipUpdate> all = new ArrayList<>();
        all.add(own(own));
        members.values().forEach(m -> all.add(of(m)));
        return all;
    }

    /** Another's whole state; its dead are only suspects here, so that they may speak for themselves. */
    void merge(List<MembershipUpdate> state, long now) {
        for (MembershipUpdate r : state) {
            hear(
                    r.standing() == MemberState.DEAD
                            ? new MembershipUpdate(
                                    r.member(), r.address(), MemberState.SUSPECT, r.incarnation(), r.from())
                            : r,
                    now);
        }
    }

    void hear(MembershipUpdate r, long now) {
        Member m = members.get(r.member());
        if (r.member().equals(self)) {
            hearOfSelf(r);
        } else if (m == null) {
            hearOfNew(r, now);
        } else if (r.standing() == MemberState.ALIVE) {
            if (r.incarnation() > m.incarnation) {
                m.address = r.address();
                become(m, MemberState.ALIVE, r.incarnation(), now);
                say(m);
            }
        } else if (r.incarnation() >= m.incarnation && m.there()) {
            if (r.standing() == MemberState.SUSPECT) {
                suspect(m, r.incarnation(), r.from(), now);
            } else {
                become(m, r.standing(), r.incarnation(), now);
                say(m);
            }
        }
    }

    private void hearOfNew(MembershipUpdate r, long now) {
        if (r.standing() == MemberState.DEAD || r.standing() == MemberState.LEFT) {
            return;
        }
        Member m = new Member(r.member(), r.address(), r.incarnation(), now);
        members.put(m.name, m);
        m.at = list.size();
        list.add(m);
        there++;
        joined.accept(m);
        changed.accept(m.name, MemberState.ALIVE);
        say(m);
        if (r.standing() == MemberState.SUSPECT) {
            suspect(m, r.incarnation(), r.from(), now);
        }
    }

    private void hearOfSelf(MembershipUpdate r) {
        boolean wrong = (r.standing() != MemberState.ALIVE && r.incarnation() >= incarnation)
                || (r.standing() == MemberState.ALIVE
                        && (r.incarnation() > incarnation
                                || (r.incarnation() == incarnation
                                        && !r.address().equals(address))));
        if (wrong) {
            incarnation = r.incarnation() + 1;
            if (r.standing() == MemberState.SUSPECT) {
                accused.run();
            }
            rumours.say(self, own(MemberState.ALIVE));
        }
    }

    /** One more suspects it; the first begins the suspicion, later ones shorten it, as many as count. */
    void suspect(Member m, long atIncarnation, String from, long now) {
        if (m.standing != MemberState.SUSPECT || atIncarnation != m.incarnation) {
            become(m, MemberState.SUSPECT, atIncarnation, now);
        } else if (m.confirmed.size() > tempo.expected(present()) || m.confirmed.contains(from)) {
            return;
        }
        m.confirmed.add(from);
        rumours.say(m.name, new MembershipUpdate(m.name, m.address, MemberState.SUSPECT, m.incarnation, from));
    }

    private void become(Member m, MemberState standing, long atIncarnation, long now) {
        MemberState before = m.standing;
        there -= m.there() ? 1 : 0;
        m.standing = standing;
        there += m.there() ? 1 : 0;
        m.incarnation = atIncarnation;
        m.since = now;
        m.confirmed.clear();
        if (standing == MemberState.ALIVE) {
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
