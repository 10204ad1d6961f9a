package elderseam.gossip;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Predicate;

/** Draws members at random. */
final class MemberSampler {
    /** Draws per wanted member, before all members are filtered: nearly all are eligible as a rule. */
    private static final int DRAWS_PER_MEMBER = 4;

    private final MembershipTable table;
    private final SplittableRandom random;

    MemberSampler(MembershipTable table, SplittableRandom random) {
        this.table = table;
        this.random = random;
    }

    /** Returns {@code count} different members that are eligible, or all of them if there are fewer. */
    List<Member> sample(int count, Predicate<Member> isEligible) {
        List<Member> members = table.members();
        List<Member> sample = new ArrayList<>();
        for (int draw = 0; draw < DRAWS_PER_MEMBER * count; draw++) {
            if (sample.size() >= count || members.isEmpty()) {
                break;
            }
            Member member = members.get(random.nextInt(members.size()));
            if (isEligible.test(member) && !sample.contains(member)) {
                sample.add(member);
            }
        }
        if (sample.size() < count && sample.size() < members.size()) {
            fill(sample, count, isEligible);
        }
        return sample;
    }

    private void fill(List<Member> sample, int count, Predicate<Member> isEligible) {
        List<Member> rest = new ArrayList<>();
        for (Member member : table.members()) {
            if (isEligible.test(member) && !sample.contains(member)) {
                rest.add(member);
            }
        }
        while (sample.size() < count && !rest.isEmpty()) {
            sample.add(rest.remove(random.nextInt(rest.size())));
        }
    }
}
