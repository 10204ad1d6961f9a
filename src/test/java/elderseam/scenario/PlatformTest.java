package elderseam.scenario;

import static elderseam.scenario.Scenario.play;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** PROTOCOL's front against the program itself. */
class PlatformTest {
    private static final String SEND = "X-Org: erongo-lettings; X-Addressing: dest=1; X-Remaining: 9000m;";

    @TempDir
    Path folder;

    private void plays(String script) throws Exception {
        play(folder, script.replace("{to 1}", SEND));
    }

    /** The answer must not wait for the delivery: clients wait 400 ms. */
    @Test
    void aMessageIsTakenOnAtOnceAndPassesOnUnchanged() throws Exception {
        plays("""
                c send GET /health/ready
                c expect 200
                c send POST /job-order; {to 1} X-Txn: a1; X-Lane: job-order; Idempotency-Key: k7 | hello
                c expect 202
                h1 expect POST /receive; X-Txn: a1; Idempotency-Key: k7; X-Remaining: ; hello
                h1 send 200
                platform wait quiet 300
                c send POST /job-order; {to 1} X-Txn: a1; Idempotency-Key: k7 | hello
                c expect 200
                h1 wait quiet 200
                """);
    }

    /** Told to wait, nothing goes to that destination before it is over; others go on. */
    @Test
    void aToldWaitIsKept() throws Exception {
        plays("""
                c send POST /status-update; {to 1} X-Txn: a1
                c expect 202
                h1 expect a1
                h1 send 429; X-RateLimit-Wait-Ms: 700
                c send POST /status-update; {to 1} X-Txn: a2
                c expect 202
                h1 wait quiet 600
                h1 expect X-Txn
                h1 send 200
                h1 expect X-Txn
                h1 send 200
                """);
    }

    /** Answers that prove a call never ran let even a once-only message go again; 410 ends it without a notice. */
    @Test
    void whatNeverRanGoesAgain() throws Exception {
        plays("""
                c send POST /rent-payment; {to 1} X-Txn: a1
                c expect 202
                h1 expect a1
                h1 send 503
                h1 expect a1
                h1 send 503; X-Over-Slots: 1
                h1 expect a1
                h1 send 504
                h1 expect a1
                h1 send 410
                platform wait quiet 400
                """);
    }

    /** After the last byte a broken connection may have run it: a once-only message ends, and is not sent again. */
    @Test
    void aResetOnceOnlyMessageEnds() throws Exception {
        plays("""
                c send POST /rent-payment; {to 1} X-Txn: a1
                c expect 202
                h1 expect a1
                h1 close
                platform expect a1; undeliverable
                h1 wait quiet 300
                """);
    }

    /** A refused connection has run nothing: the message is held, and refused when its time runs out. */
    @Test
    void aMessageThatNeverConnectedIsDeferred() throws Exception {
        plays("""
                h1 close all
                c send POST /rent-payment; X-Addressing: dest=1; X-Remaining: 1500m; X-Txn: a1
                c expect 202
                platform expect a1; deferred; again_ms
                """);
    }

    /** A call given up at its deadline closes its socket: no copy may stay out on an open connection. */
    @Test
    void aTimedOutCallClosesItsConnection() throws Exception {
        plays("""
                c send POST /rent-payment; X-Addressing: dest=1; X-Remaining: 900m; X-Txn: a1 | with a body
                c expect 202
                h1 expect a1; with a body
                h1 wait closed
                platform expect a1; undeliverable
                """);
    }

    /** Idle upstream connections end before the other side would end them (2 s in these settings). */
    @Test
    void idleUpstreamConnectionsAreClosed() throws Exception {
        plays("""
                c send POST /status-update; {to 1} X-Txn: a1
                c expect 202
                h1 expect a1
                h1 send 200
                h1 wait closed
                """);
    }

    /** Nothing new to an upstream host that drains; and a notice is repeated until it is heard. */
    @Test
    void aDrainingHostGetsNothingNewAndNoticesAreRepeated() throws Exception {
        plays("""
                platform send h1 DRAINING
                platform deaf 2
                platform wait quiet 300
                c send POST /status-update; X-Addressing: dest=1; X-Remaining: 700m; X-Txn: a1
                c expect 202
                platform expect a1; deferred
                h1 wait quiet 10
                """);
    }

    /** A failed watch is asked for again, and then tells of new hosts. */
    @Test
    void aFailedWatchIsRenewed() throws Exception {
        plays("""
                platform send fail
                platform send h3 SERVING
                h1 close all
                c send POST /status-update; {to 1} X-Txn: a1
                c expect 202
                h3 expect a1
                h3 send 200
                """);
    }

    /** Bad or over-long input gets a 4xx, and another stream on its own connection goes on. */
    @Test
    void badInputHarmsNoOtherStream() throws Exception {
        plays("""
                c1 send POST /nonsense; {to 1} X-Txn: a1
                c1 expect 404
                c1 send GET /status-update
                c1 expect 405
                c1 send POST /status-update; X-Addressing: dest=1; X-Remaining: soon; X-Txn: a1
                c1 expect 400; X-Remaining
                c1 send POST /status-update; X-Addressing: dest=x; X-Remaining: 9m; X-Txn: a1
                c1 expect 400; X-Addressing
                c1 send POST /status-update; X-Addressing: dest=1; X-Remaining: 9m; X-Txn: a/1
                c1 expect 400; X-Txn
                c2 send POST /status-update; {to 1} X-Txn: a1 | {64K}x
                c2 expect 413
                c3 send NONSENSE
                c3 expect 400
                c1 send POST /status-update; {to 1} X-Txn: a2 | {64K}
                c1 expect 202
                h1 expect a2; Content-Length: 65536
                h1 send 200
                """);
    }

    /** While discovery is dead, messages go on by the list there was; notices wait, and the watch comes back. */
    @Test
    void aDeadDiscoveryStopsNothing() throws Exception {
        plays("""
                platform watched 60000
                platform close
                c send POST /status-update; {to 1} X-Txn: a1
                c expect 202
                h1 expect a1
                h1 send 200
                c send POST /rent-payment; {to 1} X-Txn: a2
                c expect 202
                h1 expect a2
                h1 close
                platform start
                platform expect a2; undeliverable
                platform send h3 SERVING
                platform watched 60000
                """);
    }

    /** After an error a keyed message goes again under its key, while the partner still drops repeats of it. */
    @Test
    void aKeyedMessageGoesAgainInItsWindow() throws Exception {
        plays("""
                c send POST /job-order; {to 1} X-Txn: a1; Idempotency-Key: k7
                c expect 202
                h1 expect a1; Idempotency-Key: k7
                h1 send 500
                h1 expect a1; Idempotency-Key: k7
                h1 close
                h1 expect a1; Idempotency-Key: k7
                h1 send 200
                platform wait quiet 200
                """);
    }

    /** An error may have taken effect: a once-only message ends. */
    @Test
    void anErrorEndsAOnceOnlyMessage() throws Exception {
        plays("""
                c send POST /rent-payment; {to 1} X-Txn: a1
                c expect 202
                h1 expect a1
                h1 send 500
                platform expect a1; undeliverable
                h1 wait quiet 300
                """);
    }

    /** A watch that stays silent past its wait is given up, and the next one brings the news. */
    @Test
    void aSilentWatchIsAskedAgain() throws Exception {
        plays("""
                platform send mute
                platform watched 60000
                platform watched 60000
                platform send h3 SERVING
                h1 close all
                c send POST /status-update; {to 1} X-Txn: a1
                c expect 202
                h3 expect a1
                h3 send 200
                """);
    }
}
