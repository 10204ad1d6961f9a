package elderseam.gossip;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Predicate;

/** Selects members of a {@link MembershipTable} at random. */
final class MemberSampler {
    /** Random draws per requested member before the whole list is searched: usually nearly all members are eligible. */
    private static final int DRAWS_PER_MEMBER = 4;

    private final MembershipTable table;
    private final SplittableRandom random;

    MemberSampler(MembershipTable table, SplittableRandom random) {
        this.table = table;
        this.random = random;
    }

    /** Returns {@code count} distinct eligible members, or all eligible members if there are fewer. */
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
            fillFromAll(sample, count, isEligible);
        }
        return sample;
    }

    private void fillFromAll(List<Member> sample, int count, Predicate<Member> isEligible) {
        List<Member> candidates = new ArrayList<>();
        for (Member member : table.members()) {
            if (isEligible.test(member) && !sample.contains(member)) {
                candidates.add(member);
            }
        }
        while (sample.size() < count && !candidates.isEmpty()) {
            sample.add(candidates.remove(random.nextInt(candidates.size())));
        }
    }
}
