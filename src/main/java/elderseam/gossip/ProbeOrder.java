package elderseam.gossip;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

/**
 * The order in which members are probed. Each round probes all members once, in random order, so that the time between
 * two probes of a member is bounded by two rounds (SWIM, section 4.3). A member that joins is inserted at a random
 * position of the current round.
 */
final class ProbeOrder {
    private final SplittableRandom random;
    private final List<Member> remaining = new ArrayList<>(); // members to probe in this round, last one first

    ProbeOrder(SplittableRandom random) {
        this.random = random;
    }

    void add(Member member) {
        remaining.add(random.nextInt(remaining.size() + 1), member);
    }

    /** Returns the next member to probe, and starts a new round after the last one; empty if no member is present. */
    Optional<Member> next(MembershipTable table) {
        Optional<Member> next = nextInRound(table);
        if (next.isPresent()) {
            return next;
        }
        startRound(table);
        return nextInRound(table);
    }

    private Optional<Member> nextInRound(MembershipTable table) {
        while (!remaining.isEmpty()) {
            Member member = remaining.remove(remaining.size() - 1);
            if (member.isPresent() && table.contains(member)) { // the state may have changed since the round started
                return Optional.of(member);
            }
        }
        return Optional.empty();
    }

    private void startRound(MembershipTable table) {
        for (Member member : table.members()) {
            if (member.isPresent()) {
                remaining.add(member);
            }
        }
        for (int i = remaining.size() - 1; i > 0; i--) { // Fisher-Yates shuffle
            Collections.swap(remaining, i, random.nextInt(i + 1));
        }
    }
}
