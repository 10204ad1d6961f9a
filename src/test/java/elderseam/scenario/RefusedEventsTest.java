package elderseam.scenario;

import static org.junit.jupiter.api.Assertions.assertTrue;

import elderseam.handover.HandoverChannel;
import elderseam.handover.HandoverFrame;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * The CloudEvents front says "refused" only of an event that it does not know: a refusal lets the sender submit the
 * event at another dispatcher.
 */
class RefusedEventsTest {
    private static final String PAY =
            "send POST /events; ce-specversion: 1.0; ce-type: rent-payment; ce-source: /books; ce-destination: 1;"
                    + " Content-Type: text/plain;";
    private static final int REPEATS = 100; // over three times as many as the front has connections
    private static final int LIVE_SENDERS = 17;
    private static final int EVENTS_IN_REQUEST = 64;

    @TempDir
    Path folder;

    private Scenario started() throws Exception {
        Scenario s = new Scenario(folder);
        s.launcher().useFixedAddress();
        s.start();
        return s;
    }

    private static void run(Scenario s, String script) throws Exception {
        s.run(script.replace("{pay}", PAY));
    }

    /** Guards against 503 by the limit on connections for an event in flight whose sender gives up and asks again. */
    @Test
    void aSenderThatGivesUpAndAsksAgainIsNotRefused() throws Exception {
        try (Scenario s = started()) {
            run(s, "e0 {pay} ce-id: 1 | x\nh1 expect ce-id: 1");
            for (int i = 1; i <= REPEATS; i++) {
                run(s, "e" + i + " {pay} ce-id: 1 | x\ne" + i + " close");
            }
            run(s, "e {pay} ce-id: 1 | x\nh1 wait quiet 300\nh1 send 200\ne expect 200; delivered\nh1 wait quiet 100");
        }
    }

    /** Guards against "refused" by a limit on pending answers, which was applied before the event was looked up. */
    @Test
    void manySendersOfOneEventAllWaitForIt() throws Exception {
        String event = "{\"specversion\":\"1.0\",\"type\":\"rent-payment\",\"source\":\"/a\",\"id\":\"1\","
                + "\"destination\":\"1\",\"data\":{}}";
        String batch = "[" + (event + ",").repeat(EVENTS_IN_REQUEST - 1) + event + "]";
        try (Scenario s = started()) {
            for (int i = 1; i <= LIVE_SENDERS; i++) {
                run(s, "e" + i + " send POST /events; Content-Type: application/cloudevents-batch+json | " + batch);
            }
            run(s, "h1 expect ce-id: 1\nh1 wait quiet 300\nh1 send 200");
            for (int i = 1; i <= LIVE_SENDERS; i++) {
                run(s, "e" + i + " expect 207; \"status\":\"delivered\"");
            }
            run(s, "h1 wait quiet 100");
        }
    }

    /** Guards against "refused" for an event in flight while the work passes to a newer process, which then fails. */
    @Test
    void aRepeatDuringAnUpgradeThatFailsIsAnsweredAfterIt() throws Exception {
        try (Scenario s = started()) {
            run(s, """
                    e0 {pay} ce-id: 0 | x
                    h1 expect ce-id: 0
                    h1 send 200
                    e0 expect 200
                    e1 {pay} ce-id: 1 | x
                    h1 expect ce-id: 1
                    """);
            HandoverChannel channel = s.requestTransfer();
            assertTrue(channel.receive().orElseThrow() instanceof HandoverFrame.StateTransfer);
            run(s, "e0 {pay} ce-id: 1 | x\nh1 wait quiet 200");
            channel.close();
            run(s, "h1 wait quiet 200\nh1 send 200\ne0 expect 200; delivered\ne1 expect 200; delivered");
        }
    }

    /** Guards against a close without an answer: the senders' requests at the older process of an upgrade. */
    @Test
    void anUpgradeHasSendersAskAgain() throws Exception {
        try (Scenario s = started()) {
            run(s, """
                    e1 {pay} ce-id: 1 | x
                    h1 expect ce-id: 1
                    relay wait beside
                    e1 expect 504; Retry-After: 1; Connection: close
                    e2 {pay} ce-id: 1 | x
                    h1 wait quiet 200
                    h1 send 200
                    e2 expect 200; delivered
                    """);
        }
    }

    /** Guards against a close without an answer, and against 503 for what is unread, at the end of a process. */
    @Test
    void aShutdownHasSendersAskAgain() throws Exception {
        try (Scenario s = started()) {
            run(s, """
                    e1 {pay} ce-id: 1 | x
                    h1 expect ce-id: 1
                    relay close term
                    e1 expect 504; Retry-After: 1; Connection: close
                    e1 wait ended
                    """);
        }
    }
}
