package elderseam.scenario;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The operator's rules on the program itself: keys above all, across fronts, SIGKILL and a change of the rules. */
class RulesTest {
    private static final String LEASE = """
            [rule lease]
            when = has(body.lease)
            key = message.tenant + '/' + string(body.lease) + '/' + body.month
            """;
    private static final String ORG = "X-Org: erongo-lettings; X-Addressing: dest=1; X-Remaining: 9000m;";
    private static final String EVENT =
            "POST /events; ce-specversion: 1.0; ce-source: /books; ce-destination: 1; ce-tenant: erongo-lettings;"
                    + " Content-Type: application/json;";
    private static final String RENT = "{\"lease\": 12, \"month\": \"2026-12\", \"amount\": 100}";

    @TempDir
    Path folder;

    private void rules(String text) throws IOException {
        Files.writeString(folder.resolve("a.rules"), text);
    }

    private Scenario scenario(String text) throws Exception {
        rules(text);
        Scenario s = new Scenario(folder);
        s.events("[rules]\nfiles = " + folder.resolve("a.rules"));
        return s;
    }

    private void plays(String text, String script) throws Exception {
        try (Scenario s = scenario(text)) {
            s.start();
            run(s, script);
        }
    }

    private void run(Scenario s, String script) throws Exception {
        s.run(script.replace("{org}", ORG)
                .replace("{event}", EVENT)
                .replace("{rent}", RENT)
                .replace("{folder}", folder.toString()));
    }

    /** Two ids, two fronts, one key: the second waits for the first one's end, a third gets it; the partner sees one. */
    @Test
    void aCopyJoinsThePendingAnswerAcrossFronts() throws Exception {
        plays(LEASE, """
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

    /** A payment that may have run is failed for each copy, however the second is classified; none is sent again. */
    @Test
    void aCopyOfAnotherClassNeverRunsAgain() throws Exception {
        plays(LEASE, """
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

    /** Safe to repeat, and so refused after it may have run: with a key it is failed, since a copy may be a payment. */
    @Test
    void aSafeCopyThatMayHaveRunIsNotRefused() throws Exception {
        plays(LEASE, """
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

    /** A first that is refused takes its copies with it, though they had more time: none of them ran, and each may come again. */
    @Test
    void copiesOfARefusedFirstAreRefused() throws Exception {
        plays(LEASE, """
                e1 send {event} ce-type: rent-payment; ce-id: one; ce-deadline: {in 3500} | {rent}
                h1 expect ce-id: one
                h1 send 429; Retry-After: 9
                e2 send {event} ce-type: rent-payment; ce-id: two | {rent}
                e1 expect 503; refused
                e2 expect 503; refused
                """);
    }

    /** What was refused took no effect, and may come again under the same key. */
    @Test
    void whatWasRefusedMayComeAgain() throws Exception {
        plays(LEASE, """
                e send {event} ce-type: rent-payment; ce-id: one; ce-deadline: 2020-01-01T00:00:00Z | {rent}
                e expect 503; refused
                e send {event} ce-type: rent-payment; ce-id: two | {rent}
                h1 expect ce-id: two
                h1 send 200
                e expect 200; delivered
                h1 wait quiet 100
                """);
    }

    /** Killed with a payment out and a copy waiting, and one delivered: each copy gets the end of its first, nothing is sent again. */
    @Test
    void keysOutliveAKill() throws Exception {
        plays(LEASE, """
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

    /** What is still pending at the kill is taken back with those that wait for it; one delivery answers all. */
    @Test
    void aPendingKeyIsTakenBackWithItsCopies() throws Exception {
        plays(LEASE, """
                c send POST /rent-payment; {org} X-Txn: one | {rent}
                c expect 202
                h1 expect X-Txn: one
                h1 send 429; X-RateLimit-Wait-Ms: 2500
                h1 wait quiet 100
                c send POST /rent-payment; {org} X-Txn: copy | {rent}
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

    /** The rules change between two copies, then once more over a kill: the key of the first is told by the rules of the first. */
    @Test
    void aChangeOfTheRulesDoesNotPartTwoCopies() throws Exception {
        try (Scenario s = scenario(LEASE)) {
            s.start();
            run(s, """
                    c send POST /rent-payment; {org} X-Txn: one | {rent}
                    c expect 202
                    h1 expect X-Txn: one
                    h1 send 200
                    h1 wait quiet 100
                    """);
            rules("[rule other]\nwhen = has(body.lease)\nkey = body.month + string(body.lease)\n");
            run(s, """
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
            rules("[rule third]\nkey = body.month\n");
            run(s, """
                    relay close kill
                    relay wait start
                    relay expect rules.applied earlier_key_schemes=2
                    c send POST /rent-payment; {org} X-Txn: three | {rent}
                    c expect 200
                    c send POST /rent-payment; {org} X-Txn: four | {"lease": 13, "month": "2026-12"}
                    c expect 200
                    h1 wait quiet 200
                    """);
            Files.writeString(folder.resolve("a.rules"), "");
            run(s, """
                    relay close term
                    relay wait exit 0
                    relay wait start
                    c send POST /rent-payment; {org} X-Txn: five | {rent}
                    c expect 200
                    h1 wait quiet 200
                    """);
        }
    }

    /** 500 at once with one key, on one connection after another's end: one call, and one answer each. */
    @Test
    void aClumpWithOneKeyIsOneCall() throws Exception {
        StringBuilder script = new StringBuilder("""
                c send POST /rent-payment; {org} X-Txn: first | {rent}
                c expect 202
                h1 expect X-Txn: first
                """);
        script.append(
                "e send {event} ce-type: rent-payment; ce-id: told | {rent}\n"); // whose answer says that the end is
        // known
        for (int i = 0; i < 62; i++) {
            script.append("c send POST /rent-payment; {org} X-Txn: copy")
                    .append(i)
                    .append(" | {rent}\nc expect 202\n");
        }
        script.append(
                "c send POST /rent-payment; {org} X-Txn: above | {rent}\nc expect 503; Retry-After\nh1 wait quiet 50\nh1 send 200\ne expect 200\n");
        for (int i = 0; i < 435; i++) {
            script.append("c send POST /rent-payment; {org} X-Txn: late")
                    .append(i)
                    .append(" | {rent}\nc expect 200\n");
        }
        plays(LEASE, script + "h1 wait quiet 200\nplatform wait quiet 10\n");
    }

    /** A copy whose own time is up before the first ends: failed where the first may have run, refused where it surely has not. */
    @Test
    void aCopyIsAnsweredInItsOwnTime() throws Exception {
        plays(LEASE, """
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

    /** Class, destination, refusal and limit by rule; an event that tells neither class nor destination is placed by one. */
    @Test
    void rulesPlaceRefuseAndLimit() throws Exception {
        plays("""
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

    /** The program's own requests before readiness are none of the rules' business: one that sends all elsewhere would take them on. */
    @Test
    void theWarmPathIsNotRouted() throws Exception {
        plays("[rule all]\ndestination = 2\n", """
                h2 wait quiet 200
                c send POST /status-update; {org} X-Txn: a | x
                c expect 202
                h2 expect X-Txn: a
                h2 send 200
                """);
    }

    /** A rule that ends in an error is as one that does not match, and is told once. */
    @Test
    void anErrorIsAsIfTheRuleDidNotMatch() throws Exception {
        plays("[rule odd]\nwhen = body.n > 1\nrefuse = duration('1s')\n", """
                c send POST /status-update; {org} X-Txn: a | no json
                c expect 202
                relay expect rules.evaluation_failed error="rules: rule odd ended in an error: a body that is no JSON object (1 so far)"
                c send POST /status-update; {org} X-Txn: b | {"n": 2}
                c expect 503
                c send POST /status-update; {org} X-Txn: c | {"n": 2, "n": 0}
                c expect 202
                """);
    }

    /** Before any socket opens: a type mistake, a class that is none, an example that does not hold. */
    @Test
    void faultyRulesDoNotStart() throws Exception {
        try (Scenario s = scenario("[rule a]\nwhen = message.class + 1\nclass = 'rent'\n")) {
            s.launch();
            run(s, """
                    relay expect {folder}/a.rules:2:22: rule.a.when: + of (string, int), expected
                    relay expect {folder}/a.rules:3:9: rule.a.class: 'rent' is no class, allowed: status-update, job-order, rent-payment
                    relay wait exit 1
                    """);
        }
    }

    /** The first rules come while it runs, for both fronts, and go again: keys they gave are told on. */
    @Test
    void theFirstRulesComeByHangup() throws Exception {
        try (Scenario s = new Scenario(folder)) {
            s.start();
            rules(LEASE);
            Path ini = folder.resolve("elderseam.ini");
            String without = Files.readString(ini);
            Files.writeString(ini, without + "[rules]\nfiles = " + folder.resolve("a.rules") + "\n");
            run(s, """
                    relay hangup
                    relay wait reload
                    c send POST /rent-payment; {org} X-Txn: one | {rent}
                    c expect 202
                    h1 expect X-Txn: one
                    h1 send 200
                    e send {event} ce-type: rent-payment; ce-id: two | {rent}
                    e expect 200; delivered
                    """);
            Files.writeString(ini, without);
            run(s, """
                    relay hangup
                    relay expect rules.absent earlier_key_schemes=1
                    e send {event} ce-type: rent-payment; ce-id: three | {rent}
                    e expect 200; delivered
                    h1 wait quiet 200
                    """);
        }
    }

    /** New rules count whole or not at all: a fault, or an example that fails, leaves the old ones in place. */
    @Test
    void aReloadIsWholeOrNotAtAll() throws Exception {
        try (Scenario s = scenario("[rule a]\nwhen = request.size == 1\nrefuse = duration('1s')\n")) {
            s.start();
            rules(
                    "[rule a]\nwhen = request.size == 2\nrefuse = duration('1s')\n[example one]\nrequest = POST /job-order\nbody = x\nexpect_refuse = 1s\n");
            run(s, """
                    relay hangup
                    relay expect reload.rejected fault= ... example.one.expect_refuse: expected 1s, got none (table rules: rule a does not match)
                    c send POST /status-update; {org} X-Txn: a | x
                    c expect 503
                    """);
            rules("[rule a]\nwhen = request.size == 2\nrefuse = duration('1s')\n");
            run(s, """
                    relay hangup
                    relay expect rules.applied earlier_key_schemes=0 rules=1 examples=0
                    c send POST /status-update; {org} X-Txn: a | x
                    c expect 202
                    c send POST /status-update; {org} X-Txn: b | xx
                    c expect 503
                    """);
        }
    }
}
