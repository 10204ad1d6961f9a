package elderseam.scenario;

import java.nio.file.Files;
import org.junit.jupiter.api.Test;

/** Idempotency keys of the operator's rules outlast a kill, a restart and a change of the rules. */
class IdempotencyKeyRestartTest extends RulesScenario {
    /** Killed with one payment in flight, a duplicate waiting, and one payment delivered: none is sent again. */
    @Test
    void duplicatesGetTheOutcomeOfTheFirstAfterAKill() throws Exception {
        play(LEASE, """
                c send POST /rent-payment; {org} X-Txn: one | {rent}
                c expect 202
                h1 expect X-Txn: one
                c send POST /rent-payment; {org} X-Txn: copy | {rent}
                c expect 202
                e send {event} ce-type: rent-payment; ce-id: done | {"lease": 99, "month": "2026-12"}
                h1 expect ce-id: done
                h1 send 200
                e expect 200; delivered
                relay close kill
                relay wait start
                platform expect undeliverable
                platform expect undeliverable
                e send {event} ce-type: rent-payment; ce-id: other | {rent}
                e expect 502; failed
                c send POST /job-order; {org} X-Txn: done2 | {"lease": 99, "month": "2026-12"}
                c expect 200
                h1 wait quiet 300
                """);
    }

    /** A request that is pending at the kill is recovered with its duplicates; one delivery answers all. */
    @Test
    void aPendingRequestIsRecoveredWithItsDuplicates() throws Exception {
        play(LEASE, """
                c send POST /rent-payment; {org-patient} X-Txn: one | {rent}
                c expect 202
                h1 expect X-Txn: one
                h1 send 429; X-RateLimit-Wait-Ms: 2500
                h1 wait quiet 100
                c send POST /rent-payment; {org-patient} X-Txn: copy | {rent}
                c expect 202
                relay close kill
                relay wait start
                h1 expect X-Txn: one
                e send {event} ce-type: rent-payment; ce-id: two | {rent}
                h1 wait quiet 200
                h1 send 200
                e expect 200; delivered
                h1 wait quiet 200
                platform wait quiet 10
                """);
    }

    /** The rules change between two duplicates, and again over a kill: the first rules' key is still known. */
    @Test
    void aChangeOfTheRulesDoesNotSeparateDuplicates() throws Exception {
        try (Scenario scenario = scenario(LEASE)) {
            scenario.start();
            run(scenario, """
                    c send POST /rent-payment; {org} X-Txn: one | {rent}
                    c expect 202
                    h1 expect X-Txn: one
                    h1 send 200
                    h1 wait quiet 100
                    """);
            writeRules("[rule other]\nwhen = has(body.lease)\nkey = body.month + string(body.lease)\n");
            run(scenario, """
                    relay hangup
                    relay wait reload
                    c send POST /rent-payment; {org} X-Txn: two | {rent}
                    c expect 200
                    c send POST /rent-payment; {org} X-Txn: second | {"lease": 13, "month": "2026-12"}
                    c expect 202
                    h1 expect X-Txn: second
                    h1 send 200
                    h1 wait quiet 100
                    """);
            writeRules("[rule third]\nkey = body.month\n");
            run(scenario, """
                    relay close kill
                    relay wait start
                    relay expect rules.applied earlier_key_schemes=2
                    c send POST /rent-payment; {org} X-Txn: three | {rent}
                    c expect 200
                    c send POST /rent-payment; {org} X-Txn: four | {"lease": 13, "month": "2026-12"}
                    c expect 200
                    h1 wait quiet 200
                    """);
            Files.writeString(rulesFile(), "");
            run(scenario, """
                    relay close term
                    relay wait exit 0
                    relay wait start
                    c send POST /rent-payment; {org} X-Txn: five | {rent}
                    c expect 200
                    h1 wait quiet 200
                    """);
        }
    }
}
