package elderseam.scenario;

import org.junit.jupiter.api.Test;

/** Idempotency keys of the operator's rules: duplicates of one message in both front ends. */
class IdempotencyKeyTest extends RulesScenario {
    /** How many duplicates may wait, beside the first request and the event. */
    private static final int DUPLICATES_WITHIN_CAPACITY = 62;

    private static final int LATE_DUPLICATES = 435;

    /** A duplicate of a request in progress waits for its outcome, later ones get it; the endpoint sees one. */
    @Test
    void duplicatesGetTheOutcomeOfTheFirstInBothFrontEnds() throws Exception {
        play(LEASE, """
                c send POST /rent-payment; {org} X-Txn: one | {rent}
                c expect 202
                h1 expect X-Txn: one
                e send {event} ce-type: rent-payment; ce-id: two | {"month": "2026-12", "lease": 12, "amount": 100, "again": true}
                h1 wait quiet 200
                h1 send 200
                e expect 200; delivered
                c send POST /rent-payment; {org} X-Txn: three | {rent}
                c expect 200
                e send {event} ce-type: rent-payment; ce-id: four | {rent}
                e expect 200; delivered
                h1 wait quiet 200
                platform wait quiet 10
                c send POST /rent-payment; {org} X-Txn: five | {"lease": 13, "month": "2026-12"}
                c expect 202
                h1 expect X-Txn: five
                h1 send 200
                """);
    }

    /** A payment that may have run fails for each duplicate, whatever class that has; none is sent again. */
    @Test
    void aDuplicateOfAnotherClassNeverRunsAgain() throws Exception {
        play(LEASE, """
                c send POST /rent-payment; {org} X-Txn: one | {rent}
                c expect 202
                h1 expect X-Txn: one
                e send {event} ce-type: job-order; ce-id: two | {rent}
                h1 close
                platform expect one; undeliverable
                e expect 502; failed
                c send POST /status-update; {org} X-Txn: three | {rent}
                c expect 500
                h1 wait quiet 300
                """);
    }

    /** Without a key it would be rejected; with one it fails, since a duplicate may be a payment. */
    @Test
    void anIdempotentRequestWithAKeyThatMayHaveRunFails() throws Exception {
        play(LEASE, """
                e send {event} ce-type: status-update; ce-id: one; ce-deadline: {in 4500} | {rent}
                h1 expect ce-id: one
                h1 send 500
                h1 expect ce-id: one
                h1 send 503; Retry-After: 9
                e expect 502; failed
                e send {event} ce-type: rent-payment; ce-id: two | {rent}
                e expect 502; failed
                h1 wait quiet 200
                """);
    }

    /** None of them ran, and each may come again, though the duplicates had more time. */
    @Test
    void duplicatesOfARejectedFirstAreRejected() throws Exception {
        play(LEASE, """
                e1 send {event} ce-type: rent-payment; ce-id: one; ce-deadline: {in 3500} | {rent}
                h1 expect ce-id: one
                h1 send 429; Retry-After: 9
                e2 send {event} ce-type: rent-payment; ce-id: two | {rent}
                e1 expect 503; refused
                e2 expect 503; refused
                """);
    }

    /** A rejected request had no effect, and may come again under the same key. */
    @Test
    void aRejectedRequestMayComeAgain() throws Exception {
        play(LEASE, """
                e send {event} ce-type: rent-payment; ce-id: one; ce-deadline: 2020-01-01T00:00:00Z | {rent}
                e expect 503; refused
                e send {event} ce-type: rent-payment; ce-id: two | {rent}
                h1 expect ce-id: two
                h1 send 200
                e expect 200; delivered
                h1 wait quiet 100
                """);
    }

    /** 500 requests with one key: one call, one response each, and a rejection above the capacity. */
    @Test
    void manyDuplicatesAreOneCall() throws Exception {
        StringBuilder script = new StringBuilder("""
                c send POST /rent-payment; {org} X-Txn: first | {rent}
                c expect 202
                h1 expect X-Txn: first
                e send {event} ce-type: rent-payment; ce-id: told | {rent}
                """); // the event's response tells that the outcome is known
        appendDuplicates(script, "copy", DUPLICATES_WITHIN_CAPACITY, "202");
        script.append("""
                c send POST /rent-payment; {org} X-Txn: above | {rent}
                c expect 503; Retry-After
                h1 wait quiet 50
                h1 send 200
                e expect 200
                """);
        appendDuplicates(script, "late", LATE_DUPLICATES, "200");
        script.append("h1 wait quiet 200\nplatform wait quiet 10\n");
        play(LEASE, script.toString());
    }

    private static void appendDuplicates(StringBuilder script, String idPrefix, int count, String expectedStatus) {
        for (int i = 0; i < count; i++) {
            script.append("c send POST /rent-payment; {org} X-Txn: ")
                    .append(idPrefix)
                    .append(i);
            script.append(" | {rent}\nc expect ").append(expectedStatus).append('\n');
        }
    }

    /** Its deadline passes before the first ends: it fails, since the first may have run. */
    @Test
    void aDuplicateIsAnsweredWithinItsOwnDeadline() throws Exception {
        play(LEASE, """
                c send POST /rent-payment; {org} X-Txn: one | {rent}
                c expect 202
                h1 expect X-Txn: one
                c send POST /rent-payment; X-Org: erongo-lettings; X-Addressing: dest=1; X-Remaining: 600m; X-Txn: hasty | {rent}
                c expect 202
                platform expect hasty; undeliverable
                h1 send 200
                h1 wait quiet 100
                """);
    }
}
