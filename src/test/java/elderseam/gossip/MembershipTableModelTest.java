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
import java.util.function.BinaryOperator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Alloy 6 on the state machine of a suspicion. What a member does with a rumour is not told a second time in a model: it is
 * asked of {@link MembershipTable} itself, each state with each rumour, and written out as a relation. Alloy then looks for courses of
 * a subject and its observers (rumours delivered late, twice, in any order, or never) in which a property breaks.
 */
class MembershipTableModelTest {
    private static final int INCARNATIONS = 3, STEPS = 7;
    private static final List<String> PROPERTIES =
            List.of("neverBack", "onlyTheSubjectRaises", "refutationWins", "deadStaysUntilOutbid");

    /** A standing and an incarnation, as the model names it: A0, S0, D0, L0, A1, ... */
    private record Held(MemberState standing, long incarnation) {
        @Override
        public String toString() {
            return "ASDL".charAt(standing.ordinal()) + "" + incarnation;
        }
    }

    private static List<Held> states(boolean left) {
        List<Held> all = new ArrayList<>();
        for (int i = 0; i < INCARNATIONS; i++) {
            for (MemberState s : MemberState.values()) {
                if (left || s != MemberState.LEFT) {
                    all.add(new Held(s, i));
                }
            }
        }
        return all;
    }

    private static MembershipUpdate rumour(Held h) {
        return new MembershipUpdate("s", "s:1", h.standing, h.incarnation, h.standing == MemberState.ALIVE ? "s" : "x");
    }

    /** What the true code holds of a member after that. */
    private static Held hear(Held held, Held heard) {
        MembershipTable roll = new MembershipTable("o", "o:1", 0, GossipTimings.USUAL, (n, s) -> {}, m -> {}, () -> {});
        roll.hear(rumour(new Held(MemberState.ALIVE, held.incarnation)), 0);
        roll.hear(rumour(held), 0);
        roll.hear(rumour(heard), 0);
        Member m = roll.get("s");
        return new Held(m.standing, m.incarnation);
    }

    /** The incarnation of a subject that hears that of itself. */
    private static long refute(long own, Held heard) {
        MembershipTable roll =
                new MembershipTable("s", "s:1", own, GossipTimings.USUAL, (n, s) -> {}, m -> {}, () -> {});
        roll.hear(rumour(heard), 0);
        return roll.own(MemberState.ALIVE).incarnation();
    }

    private static String model(BinaryOperator<Held> hear) {
        List<Held> all = states(false);
        StringBuilder names = new StringBuilder(),
                table = new StringBuilder(),
                refutes = new StringBuilder(),
                rank = new StringBuilder();
        StringBuilder same = new StringBuilder();
        for (Held h : all) {
            names.append(names.length() > 0 ? ", " : "").append(h);
            for (Held r : all) {
                table.append(table.length() > 0 ? " + " : "")
                        .append(h)
                        .append("->")
                        .append(r)
                        .append("->")
                        .append(hear.apply(h, r));
                if (h.incarnation < r.incarnation
                        || (h.incarnation == r.incarnation && h.standing.compareTo(r.standing) < 0)) {
                    rank.append(rank.length() > 0 ? " + " : "")
                            .append(h)
                            .append("->")
                            .append(r);
                }
                if (h.incarnation < r.incarnation) {
                    same.append(same.length() > 0 ? " + " : "")
                            .append(h)
                            .append("->")
                            .append(r);
                }
                long own = h.incarnation, next = refute(own, r);
                if (h.standing == MemberState.ALIVE
                        && next < INCARNATIONS) { // beyond the scope the subject has nothing to say
                    refutes.append(refutes.length() > 0 ? " + " : "")
                            .append(h)
                            .append("->")
                            .append(r)
                            .append("->A")
                            .append(next);
                }
            }
        }
        StringBuilder suspect = new StringBuilder(), dies = new StringBuilder();
        for (int i = 0; i < INCARNATIONS; i++) {
            suspect.append(i > 0 && i < INCARNATIONS - 1 ? " + " : "")
                    .append(i < INCARNATIONS - 1 ? "A" + i + "->S" + i : "");
            dies.append(i > 0 ? " + " : "").append("S" + i + "->D" + i);
        }
        return """
                abstract sig V {}
                one sig %s extends V {}
                fun hear : V->V->V { %s }
                fun refute : V->V->V { %s }
                fun earlier : V->V { %s }      -- an earlier incarnation, or the same and a lighter standing
                fun outbid : V->V { %s }      -- an earlier incarnation
                fun suspects : V->V { %s }
                fun dies : V->V { %s }
                sig Node { var holds : one V }
                one sig Subject { var own : one V }
                one sig Net { var says : set V }

                pred start { Node.holds = A0 and Subject.own = A0 and Net.says = A0 }
                pred still { Node <: holds' = holds and own' = own and says' = says }
                pred others[n : Node] { all o : Node - n | o.holds' = o.holds }
                pred deliver[n : Node, r : V] {
                  r in Net.says and n.holds' = r.(n.holds.hear) and others[n] and own' = own
                  Net.says' = Net.says + n.holds'
                }
                pred probeFails[n : Node] {
                  some n.holds.suspects and n.holds' = n.holds.suspects and others[n] and own' = own and Net.says' = Net.says + n.holds'
                }
                pred timeOut[n : Node] {
                  some n.holds.dies and n.holds' = n.holds.dies and others[n] and own' = own and Net.says' = Net.says + n.holds'
                }
                pred subjectHears[r : V] {
                  r in Net.says and some r.(Subject.own.refute) and Subject.own' = r.(Subject.own.refute) and holds' = holds
                  Net.says' = Net.says + Subject.own'
                }
                fact course {
                  start
                  always (still or (some n : Node | probeFails[n] or timeOut[n] or some r : V | deliver[n, r]) or some r : V | subjectHears[r])
                }
                assert neverBack { always all n : Node | n.holds' = n.holds or n.holds -> n.holds' in earlier }
                assert onlyTheSubjectRaises { always no n : Node | Subject.own -> n.holds in outbid }
                assert refutationWins { always all n : Node | n.holds -> Subject.own in outbid implies Subject.own.(n.holds.hear) = Subject.own }
                assert deadStaysUntilOutbid { always all n : Node | n.holds in V.dies implies (n.holds' = n.holds or n.holds -> n.holds' in outbid) }
                check neverBack for 2 Node, 12 V, %8$d steps
                check onlyTheSubjectRaises for 2 Node, 12 V, %8$d steps
                check refutationWins for 2 Node, 12 V, %8$d steps
                check deadStaysUntilOutbid for 2 Node, 12 V, %8$d steps
                run someoneIsHeldDeadAndComesBack { eventually (some n : Node | n.holds = D0 and eventually n.holds = A1) } for 2 Node, 12 V, %8$d steps
                """.formatted(names, table, refutes, rank, same, suspect, dies, STEPS);
    }

    /** For each command whether Alloy found an instance: of a check, a course that breaks it. */
    private static Map<String, Boolean> found(String model, List<String> only) {
        CompModule world = CompUtil.parseEverything_fromString(A4Reporter.NOP, model);
        A4Options options = new A4Options();
        Map<String, Boolean> found = new LinkedHashMap<>();
        for (Command c : world.getAllCommands()) {
            if (only.contains(c.label)) {
                A4Solution s =
                        TranslateAlloyToKodkod.execute_command(A4Reporter.NOP, world.getAllReachableSigs(), c, options);
                found.put(c.label, s.satisfiable());
            }
        }
        return found;
    }

    @Test
    void noCourseBreaksAProperty() {
        String model = model(MembershipTableModelTest::hear);
        Map<String, Boolean> found = found(model, PROPERTIES);
        assertEquals(PROPERTIES, List.copyOf(found.keySet()));
        found.forEach((property, broken) -> assertFalse(broken, property));
        assertTrue(
                found(model, List.of("someoneIsHeldDeadAndComesBack")).get("someoneIsHeldDeadAndComesBack"),
                "the model moves");
    }

    /** Faults planted in what a member does with a rumour; each must be found by the property that is there for it. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "neverBack: alive of the same incarnation counts",
                "deadStaysUntilOutbid: a suspicion revives the dead",
                "refutationWins: a dead one is never believed alive"
            })
    void aPlantedFaultIsFound(String fault) {
        String property = fault.substring(0, fault.indexOf(':'));
        BinaryOperator<Held> wrong = (held, heard) -> {
            if (property.equals("neverBack")
                    && heard.standing == MemberState.ALIVE
                    && heard.incarnation == held.incarnation) {
                return heard;
            }
            if (property.equals("deadStaysUntilOutbid")
                    && held.standing == MemberState.DEAD
                    && heard.standing == MemberState.SUSPECT
                    && heard.incarnation == held.incarnation) {
                return heard;
            }
            if (property.equals("refutationWins") && held.standing == MemberState.DEAD) {
                return held;
            }
            return hear(held, heard);
        };
        assertTrue(found(model(wrong), List.of(property)).get(property), fault);
    }

    /** The whole table, with those that have left: nothing but the subject's own later word brings one back. */
    @Test
    void oneThatHasLeftComesBackByItsOwnWordAlone() {
        for (Held held : states(true)) {
            for (Held heard : states(true)) {
                Held then = hear(held, heard);
                boolean back = (held.standing == MemberState.LEFT || held.standing == MemberState.DEAD)
                        && then.standing != held.standing;
                assertTrue(
                        !back || (heard.standing == MemberState.ALIVE && heard.incarnation > held.incarnation),
                        held + " " + heard + " " + then);
            }
        }
    }
}
