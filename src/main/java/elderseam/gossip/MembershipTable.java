package elderseam.gossip;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The local view of all other members. Applies updates according to SWIM's state machine of suspicions and incarnations
 * (section 4.2), with Lifeguard's suspicion durations; announces each change, and refutes updates that contradict this
 * member's own state. {@link FailureDetector} sends the probes; {@link Membership} runs the timers.
 */
final class MembershipTable {
    /** Notified of changes in the order in which they take effect. */
    interface Listener {
        /** A member was added to the table. Called before {@link #stateChanged}. */
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
    /** The members of {@link #byName} in a list, which allows random selection by index. */
    private final List<Member> members = new ArrayList<>();
    /** Members with a running timer: suspects until declared dead, dead and left members until removed. */
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

    // ---------------------------------------------------------------- queries

    /** Returns the update by which this member announces itself in the given state. */
    MembershipUpdate ownUpdate(MemberState state) {
        return new MembershipUpdate(self, ownAddress, state, ownIncarnation, self);
    }

    /** Returns the update by which this member announces another one. */
    MembershipUpdate updateOf(Member member) {
        boolean isSuspectOrDead = member.state == MemberState.SUSPECT || member.state == MemberState.DEAD;
        String origin = isSuspectOrDead ? self : member.name;
        return new MembershipUpdate(member.name, member.address, member.state, member.incarnation, origin);
    }

    /** Returns a view of all other members. */
    List<Member> members() {
        return members;
    }

    /** Returns a view of the members that are suspected, are dead or have left. */
    Collection<Member> notAlive() {
        return notAlive.values();
    }

    /** Returns the member with that name, or null if the name is unknown or this member's own. */
    Member find(String name) {
        return byName.get(name);
    }

    /**
     * Returns whether the table still contains this object; false also if the member was removed and has joined again.
     */
    boolean contains(Member member) {
        return byName.get(member.name) == member;
    }

    /** Returns the number of members that are present, including this one. */
    int presentCount() {
        return 1 + othersPresent;
    }

    /** Returns the queue of updates to piggyback on messages. */
    PiggybackQueue<MembershipUpdate> announcements() {
        return announcements;
    }

    /** Returns updates for all known members; the first is for this member, in {@code ownState}. */
    List<MembershipUpdate> fullState(MemberState ownState) {
        List<MembershipUpdate> updates = new ArrayList<>();
        updates.add(ownUpdate(ownState));
        byName.values().forEach(member -> updates.add(updateOf(member)));
        return updates;
    }

    /** Returns when a suspect is considered dead unless it refutes the suspicion earlier. */
    long suspicionEndNs(Member suspect) {
        int members = presentCount();
        int confirmations = Math.max(0, suspect.suspectedBy.size() - 1);
        int effectiveConfirmations = Math.min(confirmations, timings.expectedConfirmations(members));
        return suspect.stateSinceNs + timings.suspicionNs(members, effectiveConfirmations);
    }

    // ---------------------------------------------------------------- timers

    /**
     * Declares suspects dead whose suspicion has timed out; removes members after {@link GossipTimings#forgetAfterNs}.
     */
    void expire(long nowNs) {
        if (notAlive.isEmpty()) {
            return;
        }
        for (Member member : List.copyOf(notAlive.values())) {
            if (member.state == MemberState.SUSPECT && nowNs >= suspicionEndNs(member)) {
                changeState(member, MemberState.DEAD, member.incarnation, nowNs);
                announce(member);
            } else if (!member.isPresent() && nowNs - member.stateSinceNs >= timings.forgetAfterNs()) {
                removeEntry(member);
            }
        }
    }

    // ---------------------------------------------------------------- updates

    /**
     * Applies another member's full state. A member that is dead in it is only suspected here, so that it can refute.
     */
    void mergeFullState(List<MembershipUpdate> state, long nowNs) {
        for (MembershipUpdate update : state) {
            apply(update.state() == MemberState.DEAD ? asSuspicion(update) : update, nowNs);
        }
    }

    private static MembershipUpdate asSuspicion(MembershipUpdate update) {
        return new MembershipUpdate(
                update.member(), update.address(), MemberState.SUSPECT, update.incarnation(), update.origin());
    }

    /** Applies an update if it overrides the known state. */
    void apply(MembershipUpdate update, long nowNs) {
        if (update.member().equals(self)) {
            refuteIfWrong(update);
            return;
        }
        Member member = byName.get(update.member());
        if (member == null) {
            addIfPresent(update, nowNs);
        } else if (update.state() == MemberState.ALIVE) {
            applyAlive(member, update, nowNs);
        } else if (update.incarnation() >= member.incarnation && member.isPresent()) {
            applyNotAlive(member, update, nowNs);
        }
    }

    private void applyAlive(Member member, MembershipUpdate update, long nowNs) {
        if (update.incarnation() > member.incarnation) {
            member.address = update.address();
            changeState(member, MemberState.ALIVE, update.incarnation(), nowNs);
            announce(member);
        }
    }

    private void applyNotAlive(Member member, MembershipUpdate update, long nowNs) {
        if (update.state() == MemberState.SUSPECT) {
            suspect(member, update.incarnation(), update.origin(), nowNs);
        } else {
            changeState(member, update.state(), update.incarnation(), nowNs);
            announce(member);
        }
    }

    private void addIfPresent(MembershipUpdate update, long nowNs) {
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
        if (!contradictsOwnState(update)) {
            return;
        }
        ownIncarnation = update.incarnation() + 1;
        if (update.state() == MemberState.SUSPECT) {
            listener.selfSuspected();
        }
        announceSelf();
    }

    /** Returns whether the update would override this member's own announcement. */
    private boolean contradictsOwnState(MembershipUpdate update) {
        if (update.state() != MemberState.ALIVE) {
            return update.incarnation() >= ownIncarnation;
        }
        boolean sameIncarnationOtherAddress =
                update.incarnation() == ownIncarnation && !update.address().equals(ownAddress);
        return update.incarnation() > ownIncarnation || sameIncarnationOtherAddress;
    }

    /**
     * Starts a suspicion, or adds {@code origin} as a confirmation of the current one. Each confirmation shortens the
     * suspicion; those above {@link GossipTimings#expectedConfirmations} are ignored.
     */
    void suspect(Member member, long incarnation, String origin, long nowNs) {
        if (member.state != MemberState.SUSPECT || incarnation != member.incarnation) {
            changeState(member, MemberState.SUSPECT, incarnation, nowNs);
        } else if (member.suspectedBy.contains(origin) || isFullyConfirmed(member)) {
            return;
        }
        member.suspectedBy.add(origin);
        MembershipUpdate suspicion =
                new MembershipUpdate(member.name, member.address, MemberState.SUSPECT, member.incarnation, origin);
        announcements.put(member.name, suspicion);
    }

    private boolean isFullyConfirmed(Member suspect) {
        return suspect.suspectedBy.size() > timings.expectedConfirmations(presentCount());
    }

    private void changeState(Member member, MemberState state, long incarnation, long nowNs) {
        MemberState previousState = member.state;
        othersPresent += (state.isPresent() ? 1 : 0) - (previousState.isPresent() ? 1 : 0);
        member.state = state;
        member.incarnation = incarnation;
        member.stateSinceNs = nowNs;
        member.suspectedBy.clear();
        if (state == MemberState.ALIVE) {
            notAlive.remove(member.name);
        } else {
            notAlive.put(member.name, member);
        }
        if (previousState != state) {
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

    /** Removes a member that is no longer on the roster; without effect if the name is unknown. */
    void remove(String name) {
        Member member = byName.get(name);
        if (member != null) {
            othersPresent -= member.isPresent() ? 1 : 0;
            removeEntry(member);
        }
    }

    private void removeEntry(Member member) {
        byName.remove(member.name);
        notAlive.remove(member.name);
        removeFromList(member);
        announcements.remove(member.name);
    }

    /** Removes the member from the list and moves the last member to its index, so that no other index changes. */
    private void removeFromList(Member member) {
        Member last = members.remove(members.size() - 1);
        if (last != member) {
            members.set(member.listIndex, last);
            last.listIndex = member.listIndex;
        }
    }
}
