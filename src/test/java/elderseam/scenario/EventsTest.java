package elderseam.scenario;

import static elderseam.scenario.Scenario.play;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The CloudEvents front: one final answer for each event, and no second rent-payment. */
class EventsTest {
    private static final String PAY = "POST /events; ce-specversion: 1.0; ce-type: rent-payment; ce-source: /books;"
            + " ce-destination: 1; ce-tenant: erongo-lettings; Content-Type: text/plain;";
    private static final String BATCH = "POST /events; Content-Type: application/cloudevents-batch+json |";

    @TempDir
    Path folder;

    private void plays(String script) throws Exception {
        play(folder, script.replace("{pay}", PAY).replace("{batch}", BATCH));
    }

    private static String event(String id, int destination) {
        return "{\"specversion\":\"1.0\",\"type\":\"status-update\",\"source\":\"/a\",\"id\":\"" + id
                + "\",\"destination\":\"" + destination + "\",\"data\":{\"n\":1}}";
    }

    /** Binary mode in and out; the answer is the final one, not an acknowledgement. */
    @Test
    void anEventIsAnsweredWhenItIsDelivered() throws Exception {
        plays("""
                e send {pay} ce-id: 1 | 100 NAD
                h1 expect POST /events; ce-id: 1; ce-source: /books; ce-type: rent-payment; ce-tenant: erongo; 100 NAD
                h1 send 204
                e expect 200; "status":"delivered"; "id":"1"
                platform wait quiet 100
                """);
    }

    @Test
    void structuredModeIsDeliveredInBinaryMode() throws Exception {
        plays("e send POST /events; Content-Type: application/cloudevents+json | " + event("7", 2) + """

                h2 expect ce-id: 7; ce-type: status-update; Content-Type: application/json; {"n":1}
                h2 send 200
                e expect 200; delivered
                """);
    }

    /** A repeated identity joins the pending answer, then gets the recorded one; the partner sees it once. */
    @Test
    void aRepeatedIdentityJoinsThePendingAnswer() throws Exception {
        plays("""
                e1 send {pay} ce-id: 1 | 100 NAD
                h1 expect ce-id: 1
                e2 send {pay} ce-id: 1 | 100 NAD
                h1 wait quiet 200
                h1 send 200
                e1 expect 200; delivered
                e2 expect 200; delivered
                e2 send {pay} ce-id: 1 | 100 NAD
                e2 expect 200; delivered
                h1 wait quiet 200
                """);
    }

    /** May have run and must not run twice: failed, and failed again for its repeat. */
    @Test
    void aPaymentThatMayHaveRunFails() throws Exception {
        plays("""
                e send {pay} ce-id: 1 | 100 NAD
                h1 expect ce-id: 1
                h1 close
                e expect 502; "status":"failed"
                e send {pay} ce-id: 1 | 100 NAD
                e expect 502; "status":"failed"
                h1 wait quiet 200
                """);
    }

    /** Only a refused event is taken anew. */
    @Test
    void aRefusedEventIsAnsweredWithATimeAndTakenAnew() throws Exception {
        plays("""
                e send {pay} ce-id: 1; ce-deadline: 2020-01-01T00:00:00Z | 100 NAD
                e expect 503; Retry-After: ; "status":"refused"
                e send {pay} ce-id: 1 | 100 NAD
                h1 expect ce-id: 1
                h1 send 200
                e expect 200; delivered
                """);
    }

    /** One event of a batch is refused full until its time is up, the others are delivered; each has its answer. */
    @Test
    void aBatchAnswersForEachEvent() throws Exception {
        plays("e send {batch} [" + event("a", 2) + ","
                + event("b", 1).replace("\"data\"", "\"deadline\":\"{in 8000}\",\"data\"") + ","
                + event("c", 2).replace("\"type\"", "\"typo\"") + "," + event("a", 2) + "]" + """

                h1 expect ce-id: b
                h1 send 429; Retry-After: 9
                h2 expect ce-id: a
                h2 send 200
                e expect 207; "id":"a","status":"delivered"; "id":"b","status":"refused","code":503; "retry_after"; "status":"invalid","code":400
                h2 wait quiet 100
                h1 wait quiet 100
                """);
    }

    @Test
    void whatIsNoEventIsNamed() throws Exception {
        plays("""
                e send POST /events; Content-Type: text/plain | hello
                e expect 415
                e send POST /events; Content-Type: application/cloudevents+avro | hello
                e expect 415
                e send POST /events; ce-type: rent-payment; ce-id: 1 | hello
                e expect 400; ce-specversion is missing
                e send POST /events; ce-specversion: 1.0; ce-type: rent-payment; ce-id: 1; ce-destination: 1 | hello
                e expect 400; source
                e send POST /events; ce-specversion: 1.0; ce-type: rent; ce-source: /a; ce-id: 1; ce-destination: 1 | x
                e expect 400; type 'rent' is no class
                e send POST /events; ce-specversion: 1.0; ce-type: rent-payment; ce-source: /a; ce-id: 1 | hello
                e expect 400; destination
                e send POST /events; Content-Type: application/cloudevents+json | {"specversion":
                e expect 400; "fault"
                e send {batch} {"a":1}
                e expect 400; array
                e send {pay} ce-id: 1 | {64K}x
                e expect 413
                e send GET /events
                e expect 405
                e send {pay} ce-id: 1 | fine
                h1 expect ce-id: 1
                h1 send 200
                e expect 200
                """);
    }

    /** Killed with a payment out: it has one end, failed, and is never sent again; a delivered one stays delivered. */
    @Test
    void noSecondPaymentAcrossAKill() throws Exception {
        plays("""
                e1 send {pay} ce-id: 1 | 100 NAD
                h1 expect ce-id: 1
                e2 send {pay} ce-id: 2 | 200 NAD
                h1 expect ce-id: 2
                h1 send 200
                e2 expect 200; delivered
                relay close kill
                relay wait start
                e1 send {pay} ce-id: 1 | 100 NAD
                e1 expect 502; "status":"failed"
                e2 send {pay} ce-id: 2 | 200 NAD
                e2 expect 200; delivered
                h1 wait quiet 300
                platform wait quiet 10
                """);
    }

    /** A repeat after a restart joins the message taken back, whose one delivery answers it. */
    @Test
    void aRepeatAfterARestartJoinsWhatIsStillPending() throws Exception {
        plays("""
                e send {pay} ce-id: 1 | 100 NAD
                h1 expect ce-id: 1
                h1 send 429; Retry-After: 2
                h1 wait quiet 100
                relay close kill
                relay wait start
                h1 expect ce-id: 1
                e send {pay} ce-id: 1 | 100 NAD
                h1 wait quiet 200
                h1 send 200
                e expect 200; delivered
                h1 wait quiet 100
                """);
    }

    /**
     * A keyed event that may have run is not refused: its client keeps no window, and coming again later it would
     * take effect twice.
     */
    @Test
    void aKeyedEventThatMayHaveRunIsNotRefused() throws Exception {
        plays("""
                e send POST /events; ce-specversion: 1.0; ce-type: job-order; ce-source: /a; ce-id: 1; ce-destination: 1; ce-deadline: {in 3500} | x
                h1 expect ce-id: 1
                h1 send 500
                h1 expect ce-id: 1
                h1 send 503; Retry-After: 9
                e expect 502; "status":"failed"
                e send POST /events; ce-specversion: 1.0; ce-type: job-order; ce-source: /a; ce-id: 1; ce-destination: 1 | x
                e expect 502; "status":"failed"
                """);
    }

    /** Common clients ask before they send a long body, and wait until they are told to go on. */
    @Test
    void aClientThatAsksFirstIsToldToGoOn() throws Exception {
        plays("""
                e send {pay} ce-id: 1; Expect: 100-continue | 100 NAD
                e expect HTTP/1.1 100
                h1 expect 100 NAD
                h1 send 200
                e expect 200; delivered
                """);
    }
}
