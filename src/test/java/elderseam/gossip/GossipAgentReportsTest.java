package elderseam.gossip;

import static elderseam.gossip.AgentHarness.openReport;
import static elderseam.gossip.AgentHarness.signed;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** One member, the health reports that others send it, honest or not, and those that it makes. */
class GossipAgentReportsTest {
    private static final HealthReport.State OPEN = HealthReport.State.OPEN;
    private static final HealthReport.State CLOSED = HealthReport.State.CLOSED;
    private static final List<String> LYING_MAJORITY = List.of("b", "c", "d", "e");

    private final AgentHarness harness = new AgentHarness();
    private final GossipAgent agent = harness.agent;

    private static OwnBreaker open(long destination, int retryAfterMs) {
        return new OwnBreaker(destination, OPEN, retryAfterMs, 4, 4);
    }

    private static OwnBreaker healthy(long destination, int failures) {
        return new OwnBreaker(destination, CLOSED, 0, 40, failures);
    }

    // ---------------------------------------------------------------- suspicion

    @Test
    void severalReportersAreNeededForASuspicion() {
        harness.receiveReport("b", 1, OPEN);
        harness.updateReports();
        assertEquals(0, harness.suspicion(1));

        harness.receiveReport("c", 1, OPEN);
        harness.updateReports();
        double ofTwo = harness.suspicion(1);
        assertTrue(ofTwo > 0 && ofTwo < 0.25, "two: " + ofTwo);

        for (String reporter : List.of("d", "e", "f")) {
            harness.receiveReport(reporter, 1, OPEN);
        }
        harness.updateReports();
        assertEquals(1, harness.suspicion(1), 1e-9);

        harness.pass(11);
        harness.updateReports();
        assertEquals(0, harness.suspicion(1), "expired, and advised so once");
        harness.advice.clear();
        harness.updateReports();
        assertEquals(Map.of(), harness.advice);
    }

    /** A majority that always lies about a destination that serves this member well: no suspicion, and each lie costs. */
    @Test
    void ownCallsContradictALyingMajority() {
        for (int i = 0; i < 6; i++) {
            for (String reporter : LYING_MAJORITY) {
                harness.receiveReport(reporter, 1, OPEN);
            }
            harness.updateReports(healthy(1, 1));
            assertEquals(0, harness.suspicion(1));
            harness.pass(3);
        }
        assertTrue(harness.credibility("b") < 0.1, "credibility " + harness.credibility("b"));

        for (String reporter : LYING_MAJORITY) {
            harness.receiveReport(reporter, 2, OPEN);
        }
        harness.updateReports();
        assertEquals(0, harness.suspicion(2), "without own calls they are not believed any more");
        harness.pass(3_600);
        assertTrue(harness.credibility("b") > 0.9, "an hour later");
    }

    @Test
    void aFlappingLiarHasNoEffect() {
        for (int i = 0; i < 40; i++) {
            harness.receiveReport("b", 1, i % 2 == 0 ? OPEN : CLOSED);
            harness.updateReports(healthy(1, 0));
            assertEquals(0, harness.suspicion(1));
            harness.pass(1);
        }
        assertTrue(harness.credibility("b") < 0.05);
    }

    // ---------------------------------------------------------------- what is dropped

    /** A report that its reporter did not sign, or with a signature over something else, is ignored and counted. */
    @Test
    void forgedReportsAreDropped() {
        harness.receive("b", signed(openReport("c", 1, 1), "b", harness.wallMs));
        SignedReport genuine = signed(openReport("c", 2, 1), "c", harness.wallMs);
        SignedReport changed =
                new SignedReport(openReport("c", 3, 1), harness.wallMs, genuine.keyId(), genuine.signature());
        harness.receive("b", changed);
        assertEquals(2, agent.dropCount(DropReason.FORGED_REPORT));
        assertEquals(0, agent.allReports().size());

        harness.receive("b", genuine);
        assertEquals(1, agent.allReports().size());
    }

    /** Passed on a minute late, a report is too old, though its reporter's clock is two minutes off. */
    @Test
    void delayedReportsAreDropped() {
        long reporterWallMs = harness.wallMs + 120_000;
        SignedReport delayed = signed(openReport("c", 1, 1), "c", reporterWallMs);
        SignedReport fresh = signed(openReport("c", 2, 1), "c", reporterWallMs + 60_000);
        Packet empty = new Packet(new Message.Gossip(), List.of(), List.of());
        agent.receive("c", empty, harness.nowNs, harness.wallMs, reporterWallMs);

        harness.pass(60);
        harness.receive("b", delayed);
        assertEquals(1, agent.dropCount(DropReason.STALE_REPORT));
        harness.receive("b", fresh);
        assertEquals(1, agent.allReports().size());
    }

    /** One sender makes this member verify 40 signatures a second at most, whatever it passes on. */
    @Test
    void verificationsAreLimitedForEachSender() {
        for (int i = 0; i < 200; i++) {
            harness.receive("b", signed(openReport("c", i + 1, i), "b", harness.wallMs));
        }
        assertTrue(agent.dropCount(DropReason.FORGED_REPORT) <= 40
                && agent.dropCount(DropReason.REPORTS_OVER_RATE) >= 160);
        harness.receive("d", signed(openReport("d", 1, 1), "d", harness.wallMs));
        assertEquals(1, agent.allReports().size(), "another sender has its own limit");
    }

    // ---------------------------------------------------------------- own reports

    /** A change is reported at once, an open breaker again before the report expires, one that never opened not at all. */
    @Test
    void ownBreakersAreReported() {
        harness.updateReports(healthy(1, 0), open(2, 500));
        assertEquals(
                List.of(2L),
                agent.allReports().stream().map(HealthReport::destination).toList());
        long first = agent.allReports().get(0).sequence();

        harness.pass(1);
        harness.updateReports(healthy(1, 0), open(2, 0));
        assertEquals(first, agent.allReports().get(0).sequence());
        harness.pass(2);
        harness.updateReports(open(2, 0));
        assertEquals(first + 1, agent.allReports().get(0).sequence());

        harness.updateReports(new OwnBreaker(2, CLOSED, 0, 1, 0));
        assertEquals(CLOSED, agent.allReports().get(0).state());
    }

    @Test
    void ownReportsAreBounded() {
        List<OwnBreaker> breakers = new ArrayList<>();
        for (long destination = 1; destination <= 1_000; destination++) {
            breakers.add(open(destination, 0));
        }
        for (int i = 0; i < 120; i++) {
            harness.pass(1);
            harness.updateReports(breakers);
        }
        int held = agent.allReports().size();
        assertTrue(held <= 256, held + " held");
    }
}
