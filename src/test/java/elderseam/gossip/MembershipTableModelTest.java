package elderseam.gossip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edu.mit.csail.sdg.alloy4.A4Reporter;
import edu.mit.csail.sdg.ast.Command;
import edu.mit.csail.sdg.parser.CompModule;
import edu.mit.csail.sdg.parser.CompUtil;
import edu.mit.csail.sdg.translator.A4Options;
import edu.mit.csail.sdg.translator.A4Solution;
import edu.mit.csail.sdg.translator.TranslateAlloyToKodkod;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiPredicate;
import java.util.function.BinaryOperator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Model checking of the state machine of suspicions with Alloy 6. What a member makes of an update is not written a second time
 * in the model: {@link MembershipTable} itself is asked, each belief with each update, and the answers are written out as a
 * relation. Alloy then searches for a sequence of steps of a subject and two observers (updates delivered late, twice, in any
 * order, or never) in which a property breaks.
 */
class MembershipTableModelTest {
    private static final int INCARNATIONS = 3;
    private static final int STEPS = 7;
    private static final String SUBJECT = "s";
    private static final List<String> PROPERTIES =
            List.of("neverBack", "onlyTheSubjectRaises", "refutationWins", "deadStaysUntilOutbid");
    private static final String RECOVERY = "someoneIsHeldDeadAndComesBack";

    private static final String MODEL = """
            abstract sig Belief {}
            one sig %s extends Belief {}
            fun apply : Belief->Belief->Belief { %s }
            fun refute : Belief->Belief->Belief { %s }
            fun earlier : Belief->Belief { %s }      -- an earlier incarnation, or the same and a state that is overridden
            fun outbid : Belief->Belief { %s }      -- an earlier incarnation
            fun suspects : Belief->Belief { %s }
            fun dies : Belief->Belief { %s }
            sig Node { var holds : one Belief }
            one sig Subject { var own : one Belief }
            one sig Net { var says : set Belief }

            pred start { Node.holds = A0 and Subject.own = A0 and Net.says = A0 }
            pred still { Node <: holds' = holds and own' = own and says' = says }
            pred others[n : Node] { all o : Node - n | o.holds' = o.holds }
            pred deliver[n : Node, u : Belief] {
              u in Net.says and n.holds' = u.(n.holds.apply) and others[n] and own' = own
              Net.says' = Net.says + n.holds'
            }
            pred probeFails[n : Node] {
              some n.holds.suspects and n.holds' = n.holds.suspects and others[n] and own' = own and Net.says' = Net.says + n.holds'
            }
            pred timeOut[n : Node] {
              some n.holds.dies and n.holds' = n.holds.dies and others[n] and own' = own and Net.says' = Net.says + n.holds'
            }
            pred subjectHears[u : Belief] {
              u in Net.says and some u.(Subject.own.refute) and Subject.own' = u.(Subject.own.refute) and holds' = holds
              Net.says' = Net.says + Subject.own'
            }
            fact transitions {
              start
              always (still or (some n : Node | probeFails[n] or timeOut[n] or some u : Belief | deliver[n, u]) or some u : Belief | subjectHears[u])
            }
            assert neverBack { always all n : Node | n.holds' = n.holds or n.holds -> n.holds' in earlier }
            assert onlyTheSubjectRaises { always no n : Node | Subject.own -> n.holds in outbid }
            assert refutationWins { always all n : Node | n.holds -> Subject.own in outbid implies Subject.own.(n.holds.apply) = Subject.own }
            assert deadStaysUntilOutbid { always all n : Node | n.holds in Belief.dies implies (n.holds' = n.holds or n.holds -> n.holds' in outbid) }
            check neverBack for 2 Node, 12 Belief, %8$d steps
            check onlyTheSubjectRaises for 2 Node, 12 Belief, %8$d steps
            check refutationWins for 2 Node, 12 Belief, %8$d steps
            check deadStaysUntilOutbid for 2 Node, 12 Belief, %8$d steps
            run someoneIsHeldDeadAndComesBack { eventually (some n : Node | n.holds = D0 and eventually n.holds = A1) } for 2 Node, 12 Belief, %8$d steps
            """;

    /** A state and an incarnation; the model's name for it is A0, S0, D0, L0, A1, ... */
    private record Belief(MemberState state, long incarnation) {
        @Override
        public String toString() {
            return switch (state) {
                        case ALIVE -> "A";
                        case SUSPECT -> "S";
                        case DEAD -> "D";
                        case LEFT -> "L";
                    }
                    + incarnation;
        }

        boolean isOutbidBy(Belief other) {
            return incarnation < other.incarnation;
        }

        boolean isEarlierThan(Belief other) {
            boolean isOverridden = incarnation == other.incarnation && state.compareTo(other.state) < 0;
            return isOutbidBy(other) || isOverridden;
        }

        boolean isGone() {
            return !state.isPresent();
        }
    }

    // ---------------------------------------------------------------- the code under test, as relations

    private static final class NoListener implements MembershipTable.Listener {
        @Override
        public void memberJoined(Member member) {}

        @Override
        public void stateChanged(String member, MemberState state) {}

        @Override
        public void selfSuspected() {}
    }

    private static MembershipTable table(String self, long incarnation) {
        LocalMember member = new LocalMember(self, self + ":1", List.of(), incarnation);
        return new MembershipTable(member, GossipTimings.DEFAULTS, new NoListener());
    }

    private static MembershipUpdate update(Belief belief) {
        String origin = belief.state == MemberState.ALIVE ? SUBJECT : "x";
        return new MembershipUpdate(SUBJECT, SUBJECT + ":1", belief.state, belief.incarnation, origin);
    }

    /** What an observer with the belief {@code held} believes after the update {@code received}. */
    private static Belief apply(Belief held, Belief received) {
        MembershipTable observer = table("o", 0);
        observer.apply(update(new Belief(MemberState.ALIVE, held.incarnation)), 0);
        observer.apply(update(held), 0);
        observer.apply(update(received), 0);
        Member subject = observer.find(SUBJECT);
        return new Belief(subject.state, subject.incarnation);
    }

    /** The incarnation of the subject after an update about itself. */
    private static long refute(long ownIncarnation, Belief received) {
        MembershipTable subject = table(SUBJECT, ownIncarnation);
        subject.apply(update(received), 0);
        return subject.ownUpdate(MemberState.ALIVE).incarnation();
    }

    private static List<Belief> beliefs(boolean withLeft) {
        List<Belief> beliefs = new ArrayList<>();
        for (int incarnation = 0; incarnation < INCARNATIONS; incarnation++) {
            for (MemberState state : MemberState.values()) {
                if (withLeft || state != MemberState.LEFT) {
                    beliefs.add(new Belief(state, incarnation));
                }
            }
        }
        return beliefs;
    }

    // ---------------------------------------------------------------- the model

    private static String model(BinaryOperator<Belief> apply) {
        List<Belief> beliefs = beliefs(false);
        String names = String.join(", ", beliefs.stream().map(Belief::toString).toList());
        return MODEL.formatted(
                names,
                appliedUpdates(beliefs, apply),
                refutations(beliefs),
                pairs(beliefs, Belief::isEarlierThan),
                pairs(beliefs, Belief::isOutbidBy),
                stateChange(MemberState.ALIVE, MemberState.SUSPECT, INCARNATIONS - 1),
                stateChange(MemberState.SUSPECT, MemberState.DEAD, INCARNATIONS),
                STEPS);
    }

    private static String appliedUpdates(List<Belief> beliefs, BinaryOperator<Belief> apply) {
        List<String> tuples = new ArrayList<>();
        for (Belief held : beliefs) {
            for (Belief received : beliefs) {
                tuples.add(held + "->" + received + "->" + apply.apply(held, received));
            }
        }
        return union(tuples);
    }

    /** What the subject says of itself after each update; beyond the model's incarnations it says nothing. */
    private static String refutations(List<Belief> beliefs) {
        List<String> tuples = new ArrayList<>();
        for (Belief own : beliefs) {
            for (Belief received : beliefs) {
                long next = refute(own.incarnation, received);
                if (own.state == MemberState.ALIVE && next < INCARNATIONS) {
                    tuples.add(own + "->" + received + "->" + new Belief(MemberState.ALIVE, next));
                }
            }
        }
        return union(tuples);
    }

    private static String pairs(List<Belief> beliefs, BiPredicate<Belief, Belief> isRelated) {
        List<String> tuples = new ArrayList<>();
        for (Belief first : beliefs) {
            for (Belief second : beliefs) {
                if (isRelated.test(first, second)) {
                    tuples.add(first + "->" + second);
                }
            }
        }
        return union(tuples);
    }

    /** What a timer of an observer does, within so many incarnations. */
    private static String stateChange(MemberState before, MemberState after, int incarnations) {
        List<String> tuples = new ArrayList<>();
        for (int incarnation = 0; incarnation < incarnations; incarnation++) {
            tuples.add(new Belief(before, incarnation) + "->" + new Belief(after, incarnation));
        }
        return union(tuples);
    }

    private static String union(List<String> tuples) {
        return String.join(" + ", tuples);
    }

    /** For each of the commands whether Alloy found an instance: of a check, a sequence of steps that breaks it. */
    private static Map<String, Boolean> findInstances(String model, List<String> commands) {
        CompModule world = CompUtil.parseEverything_fromString(A4Reporter.NOP, model);
        A4Options options = new A4Options();
        Map<String, Boolean> found = new LinkedHashMap<>();
        for (Command command : world.getAllCommands()) {
            if (commands.contains(command.label)) {
                A4Solution solution = TranslateAlloyToKodkod.execute_command(
                        A4Reporter.NOP, world.getAllReachableSigs(), command, options);
                found.put(command.label, solution.satisfiable());
            }
        }
        return found;
    }

    // ---------------------------------------------------------------- the tests

    @Test
    void noSequenceOfStepsBreaksAProperty() {
        String model = model(MembershipTableModelTest::apply);
        Map<String, Boolean> broken = findInstances(model, PROPERTIES);
        assertEquals(PROPERTIES, List.copyOf(broken.keySet()));
        broken.forEach((property, isBroken) -> assertFalse(isBroken, property));
        assertTrue(findInstances(model, List.of(RECOVERY)).get(RECOVERY), "the model moves");
    }

    /** Faults planted in what a member makes of an update; each must be found by the property that is there for it. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "neverBack: alive of the same incarnation counts",
                "deadStaysUntilOutbid: a suspicion revives the dead",
                "refutationWins: a dead one is never believed alive"
            })
    void aPlantedFaultIsFound(String fault) {
        String property = fault.substring(0, fault.indexOf(':'));
        String model = model((held, received) -> applyWithFault(property, held, received));
        assertTrue(findInstances(model, List.of(property)).get(property), fault);
    }

    private static Belief applyWithFault(String property, Belief held, Belief received) {
        boolean sameIncarnation = held.incarnation == received.incarnation;
        boolean isHeldDead = held.state == MemberState.DEAD;
        return switch (property) {
            case "neverBack" ->
                sameIncarnation && received.state == MemberState.ALIVE ? received : apply(held, received);
            case "deadStaysUntilOutbid" ->
                sameIncarnation && isHeldDead && received.state == MemberState.SUSPECT
                        ? received
                        : apply(held, received);
            case "refutationWins" -> isHeldDead ? held : apply(held, received);
            default -> throw new IllegalArgumentException(property);
        };
    }

    /** All beliefs, also of members that have left: only the member's own later word brings it back. */
    @Test
    void aMemberThatIsGoneComesBackByItsOwnWordAlone() {
        for (Belief held : beliefs(true)) {
            for (Belief received : beliefs(true)) {
                Belief after = apply(held, received);
                boolean cameBack = held.isGone() && after.state != held.state;
                boolean isOwnLaterWord = received.state == MemberState.ALIVE && held.isOutbidBy(received);
                assertTrue(!cameBack || isOwnLaterWord, held + " " + received + " " + after);
            }
        }
    }
}
