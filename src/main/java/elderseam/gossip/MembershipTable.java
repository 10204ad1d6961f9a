package elderseam.gossip;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The other members as this one knows them, and how updates change that: SWIM's state machine of suspicions and incarnations
 * (section 4.2) with Lifeguard's suspicion times. It announces what is new, and refutes what is wrong about this member.
 * Probes and timers are elsewhere: {@link FailureDetector}, {@link Membership}.
 */
final class MembershipTable {
    /** Notified of changes, in the order in which they take effect. */
    interface Listener {
        /** A member became known; before {@link #stateChanged}. */
        void memberJoined(Member member);

        /** The state of another member changed. */
        void stateChanged(String member, MemberState state);

        /** Another member suspects this one. */
        void selfSuspected();
    }

    private static final int MAX_ANNOUNCED_MEMBERS = 1_024;

    private final String self;
    private final String ownAddress;
    private final GossipTimings timings;
    private final Listener listener;
    private final Map<String, Member> byName = new LinkedHashMap<>();
    /** The members of {@link #byName}, so that one can be drawn at random. */
    private final List<Member> members = new ArrayList<>();
    /** Those that a timer runs for: suspects until they are dead, dead and left ones until they are forgotten. */
    private final Map<String, Member> notAlive = new LinkedHashMap<>();

    private final PiggybackQueue<MembershipUpdate> announcements =
            new PiggybackQueue<>(MAX_ANNOUNCED_MEMBERS, MembershipUpdate::maxEncodedBytes);
    private long ownIncarnation;
    private int othersPresent;

    MembershipTable(LocalMember self, GossipTimings timings, Listener listener) {
        this.self = self.name();
        this.ownAddress = self.address();
        this.ownIncarnation = self.incarnation();
        this.timings = timings;
        this.listener = listener;
        announceSelf();
    }

    // ---------------------------------------------------------------- reading

    /** Returns what this member says of itself. */
    MembershipUpdate ownUpdate(MemberState state) {
        return new MembershipUpdate(self, ownAddress, state, ownIncarnation, self);
    }

    /** Returns what this member says of another. */
    MembershipUpdate updateOf(Member member) {
        boolean isAccused = member.state == MemberState.SUSPECT || member.state == MemberState.DEAD;
        String origin = isAccused ? self : member.name;
        return new MembershipUpdate(member.name, member.address, member.state, member.incarnation, origin);
    }

    /** Returns all other members; a view. */
    List<Member> members() {
        return members;
    }

    /** Returns the members that are suspected, dead or have left; a view. */
    Collection<Member> notAlive() {
        return notAlive.values();
    }

    /** Returns the member of that name, or null if it is unknown or this one. */
    Member find(String name) {
        return byName.get(name);
    }

    /** Whether the member is still known; false also if it was forgotten and has joined again since. */
    boolean contains(Member member) {
        return byName.get(member.name) == member;
    }

    /** Returns how many members are present, this one included. */
    int presentCount() {
        return 1 + othersPresent;
    }

    /** Returns the updates to be piggybacked. */
    PiggybackQueue<MembershipUpdate> announcements() {
        return announcements;
    }

    /** Returns all that is known, beginning with this member in {@code ownState}. */
    List<MembershipUpdate> fullState(MemberState ownState) {
        List<MembershipUpdate> updates = new ArrayList<>();
        updates.add(ownUpdate(ownState));
        byName.values().forEach(member -> updates.add(updateOf(member)));
        return updates;
    }

    /** Returns when a suspect will be considered dead unless it refutes. */
    long suspicionEndNs(Member suspect) {
        int members = presentCount();
        int confirmations = Math.max(0, suspect.suspectedBy.size() - 1);
        int counted = Math.min(confirmations, timings.expectedConfirmations(members));
        return suspect.stateSinceNs + timings.suspicionNs(members, counted);
    }

    // ---------------------------------------------------------------- timers

    /** Declares suspects dead whose time is up, and forgets members that have been gone for long. */
    void expire(long nowNs) {
        if (notAlive.isEmpty()) {
            return;
        }
        for (Member member : List.copyOf(notAlive.values())) {
            if (member.state == MemberState.SUSPECT && nowNs >= suspicionEndNs(member)) {
                changeState(member, MemberState.DEAD, member.incarnation, nowNs);
                announce(member);
            } else if (!member.isPresent() && nowNs - member.stateSinceNs >= timings.forgetAfterNs()) {
                forget(member);
            }
        }
    }

    // ---------------------------------------------------------------- updates

    /** Applies another member's full state. Members that are dead there are only suspected here, so that they can refute. */
    void mergeFullState(List<MembershipUpdate> state, long nowNs) {
        for (MembershipUpdate update : state) {
            apply(update.state() == MemberState.DEAD ? asSuspicion(update) : update, nowNs);
        }
    }

    private static MembershipUpdate asSuspicion(MembershipUpdate update) {
        return new MembershipUpdate(
                update.member(), update.address(), MemberState.SUSPECT, update.incarnation(), update.origin());
    }

    /** Applies one update, as far as it is newer than what is known. */
    void apply(MembershipUpdate update, long nowNs) {
        if (update.member().equals(self)) {
            refuteIfWrong(update);
            return;
        }
        Member member = byName.get(update.member());
        if (member == null) {
            addUnlessGone(update, nowNs);
        } else if (update.state() == MemberState.ALIVE) {
            applyAlive(member, update, nowNs);
        } else if (update.incarnation() >= member.incarnation && member.isPresent()) {
            applyAccusation(member, update, nowNs);
        }
    }

    private void applyAlive(Member member, MembershipUpdate update, long nowNs) {
        if (update.incarnation() > member.incarnation) {
            member.address = update.address();
            changeState(member, MemberState.ALIVE, update.incarnation(), nowNs);
            announce(member);
        }
    }

    private void applyAccusation(Member member, MembershipUpdate update, long nowNs) {
        if (update.state() == MemberState.SUSPECT) {
            suspect(member, update.incarnation(), update.origin(), nowNs);
        } else {
            changeState(member, update.state(), update.incarnation(), nowNs);
            announce(member);
        }
    }

    private void addUnlessGone(MembershipUpdate update, long nowNs) {
        if (!update.state().isPresent()) {
            return;
        }
        Member member = new Member(update.member(), update.address(), update.incarnation(), nowNs);
        byName.put(member.name, member);
        member.listIndex = members.size();
        members.add(member);
        othersPresent++;
        listener.memberJoined(member);
        listener.stateChanged(member.name, MemberState.ALIVE);
        announce(member);
        if (update.state() == MemberState.SUSPECT) {
            suspect(member, update.incarnation(), update.origin(), nowNs);
        }
    }

    private void refuteIfWrong(MembershipUpdate update) {
        if (!contradictsSelf(update)) {
            return;
        }
        ownIncarnation = update.incarnation() + 1;
        if (update.state() == MemberState.SUSPECT) {
            listener.selfSuspected();
        }
        announceSelf();
    }

    /** Whether the update would override what this member says of itself. */
    private boolean contradictsSelf(MembershipUpdate update) {
        if (update.state() != MemberState.ALIVE) {
            return update.incarnation() >= ownIncarnation;
        }
        boolean sameIncarnationElsewhere =
                update.incarnation() == ownIncarnation && !update.address().equals(ownAddress);
        return update.incarnation() > ownIncarnation || sameIncarnationElsewhere;
    }

    /** Begins a suspicion, or counts {@code accuser} as a confirmation, which shortens it, as far as confirmations count. */
    void suspect(Member member, long incarnation, String accuser, long nowNs) {
        if (member.state != MemberState.SUSPECT || incarnation != member.incarnation) {
            changeState(member, MemberState.SUSPECT, incarnation, nowNs);
        } else if (member.suspectedBy.contains(accuser) || isFullyConfirmed(member)) {
            return;
        }
        member.suspectedBy.add(accuser);
        MembershipUpdate suspicion =
                new MembershipUpdate(member.name, member.address, MemberState.SUSPECT, member.incarnation, accuser);
        announcements.put(member.name, suspicion);
    }

    private boolean isFullyConfirmed(Member suspect) {
        return suspect.suspectedBy.size() > timings.expectedConfirmations(presentCount());
    }

    private void changeState(Member member, MemberState state, long incarnation, long nowNs) {
        MemberState before = member.state;
        othersPresent += (state.isPresent() ? 1 : 0) - (before.isPresent() ? 1 : 0);
        member.state = state;
        member.incarnation = incarnation;
        member.stateSinceNs = nowNs;
        member.suspectedBy.clear();
        if (state == MemberState.ALIVE) {
            notAlive.remove(member.name);
        } else {
            notAlive.put(member.name, member);
        }
        if (before != state) {
            listener.stateChanged(member.name, state);
        }
    }

    private void announce(Member member) {
        announcements.put(member.name, updateOf(member));
    }

    private void announceSelf() {
        announcements.put(self, ownUpdate(MemberState.ALIVE));
    }

    // ---------------------------------------------------------------- removal

    /** Removes a member that is not on the roster any more. */
    void remove(String name) {
        Member member = byName.get(name);
        if (member != null) {
            othersPresent -= member.isPresent() ? 1 : 0;
            forget(member);
        }
    }

    private void forget(Member member) {
        byName.remove(member.name);
        notAlive.remove(member.name);
        removeFromList(member);
        announcements.remove(member.name);
    }

    /** Moves the last member of the list into the gap, so that no other index changes. */
    private void removeFromList(Member member) {
        Member last = members.remove(members.size() - 1);
        if (last != member) {
            members.set(member.listIndex, last);
            last.listIndex = member.listIndex;
        }
    }
}
