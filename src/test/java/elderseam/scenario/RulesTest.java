package elderseam.scenario;

import org.junit.jupiter.api.Test;

/** The operator's rules in the whole program: class, destination, rejection, limits and errors. */
class RulesTest extends RulesScenario {
    /** An event that names neither class nor destination is accepted only if a rule gives it both. */
    @Test
    void rulesClassifyRouteRejectAndLimit() throws Exception {
        play("""
                [limit agency]
                per = message.tenant
                rate_per_s = 0.01
                burst = 2
                [route second]
                to = 2
                by = message.id
                [table place]
                match = all
                [rule invoice]
                when = event.type == 'rent.invoice'
                class = 'rent-payment'
                route = second
                [rule big]
                when = request.size > 40
                refuse = duration('2s')
                [rule few]
                when = message.class == 'job-order'
                limit = agency
                """, """
                e send POST /events; ce-specversion: 1.0; ce-source: /a; ce-id: 1; ce-type: rent.invoice | x
                h2 expect ce-id: 1
                h2 send 200
                e expect 200; delivered
                e send POST /events; ce-specversion: 1.0; ce-source: /a; ce-id: 2; ce-type: rent.other | x
                e expect 400; no rule gives one
                c send POST /job-order; {org} X-Txn: big | 12345678901234567890123456789012345678901
                c expect 503; Retry-After: 2.000
                c send POST /job-order; {org} X-Txn: a | x
                c expect 202
                c2 send POST /job-order; {org} X-Txn: b | x
                c2 expect 202
                c send POST /job-order; {org} X-Txn: c | x
                c expect 503; Retry-After: 3.000
                c send POST /job-order; {org} X-Txn: a | x
                c expect 202
                c send POST /status-update; {org} X-Txn: d | x
                c expect 202
                """);
    }

    /** The program's own requests before readiness don't go where a rule sends all requests. */
    @Test
    void requestsOfTheWarmupAreNotRouted() throws Exception {
        play("[rule all]\ndestination = 2\n", """
                h2 wait quiet 200
                c send POST /status-update; {org} X-Txn: a | x
                c expect 202
                h2 expect X-Txn: a
                h2 send 200
                """);
    }

    @Test
    void aRuleInErrorDoesNotMatchAndIsLogged() throws Exception {
        play("[rule odd]\nwhen = body.n > 1\nrefuse = duration('1s')\n", """
                c send POST /status-update; {org} X-Txn: a | no json
                c expect 202
                relay expect rules.evaluation_failed rule=odd error="a body that is no JSON object" errors=1
                c send POST /status-update; {org} X-Txn: b | {"n": 2}
                c expect 503
                c send POST /status-update; {org} X-Txn: c | {"n": 2, "n": 0}
                c expect 202
                """);
    }

    /** Before any socket opens: an expression of the wrong type, and a class that does not exist. */
    @Test
    void faultyRulesPreventTheStart() throws Exception {
        try (Scenario scenario = scenario("[rule a]\nwhen = message.class + 1\nclass = 'rent'\n")) {
            scenario.launch();
            run(scenario, """
                    relay expect {folder}/a.rules:2:22: rule.a.when: + of (string, int), expected
                    relay expect {folder}/a.rules:3:9: rule.a.class: 'rent' is no class, allowed: status-update, job-order, rent-payment
                    relay wait exit 1
                    """);
        }
    }
}
