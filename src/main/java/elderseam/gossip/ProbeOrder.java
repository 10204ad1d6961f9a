package elderseam.gossip;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

/**
 * The order in which members are probed: one shuffled round after the other, so that each is probed within two rounds (SWIM,
 * section 4.3). A member that joins is put at a random place of the current round.
 */
final class ProbeOrder {
    private final SplittableRandom random;
    private final List<Member> round = new ArrayList<>(); // the next is the last

    ProbeOrder(SplittableRandom random) {
        this.random = random;
    }

    void add(Member member) {
        round.add(random.nextInt(round.size() + 1), member);
    }

    /** Returns the next member to probe, and begins another round if this one is over; empty if no member is present. */
    Optional<Member> next(MembershipTable table) {
        Optional<Member> next = nextInRound(table);
        if (next.isPresent()) {
            return next;
        }
        startRound(table);
        return nextInRound(table);
    }

    private Optional<Member> nextInRound(MembershipTable table) {
        while (!round.isEmpty()) {
            Member member = round.remove(round.size() - 1);
            if (member.isPresent() && table.contains(member)) { // others have gone since the round began
                return Optional.of(member);
            }
        }
        return Optional.empty();
    }

    private void startRound(MembershipTable table) {
        for (Member member : table.members()) {
            if (member.isPresent()) {
                round.add(member);
            }
        }
        for (int i = round.size() - 1; i > 0; i--) { // Fisher and Yates
            Collections.swap(round, i, random.nextInt(i + 1));
        }
    }
}
