package elderseam.scenario;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

/** SIGHUP replaces the operator's rules while the program runs. */
class RulesReloadTest extends RulesScenario {
    /** They apply in both front ends; when they are removed again, the keys that they gave stay known. */
    @Test
    void theFirstRulesMayComeWithAReload() throws Exception {
        try (Scenario scenario = new Scenario(folder)) {
            scenario.start();
            writeRules(LEASE);
            Path ini = folder.resolve("elderseam.ini");
            String without = Files.readString(ini);
            Files.writeString(ini, without + "[rules]\nfiles = " + rulesFile() + "\n");
            run(scenario, """
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
            run(scenario, """
                    relay hangup
                    relay expect rules.absent earlier_key_schemes=1
                    e send {event} ce-type: rent-payment; ce-id: three | {rent}
                    e expect 200; delivered
                    h1 wait quiet 200
                    """);
        }
    }

    /** An example that fails leaves the old rules in force. */
    @Test
    void newRulesApplyCompletelyOrNotAtAll() throws Exception {
        try (Scenario scenario = scenario("[rule a]\nwhen = request.size == 1\nrefuse = duration('1s')\n")) {
            scenario.start();
            writeRules("""
                    [rule a]
                    when = request.size == 2
                    refuse = duration('1s')
                    [example one]
                    request = POST /job-order
                    body = x
                    expect_refuse = 1s
                    """);
            run(scenario, """
                    relay hangup
                    relay expect reload.rejected fault= ... example.one.expect_refuse: expected 1s, got none (table rules: rule a does not match)
                    c send POST /status-update; {org} X-Txn: a | x
                    c expect 503
                    """);
            writeRules("[rule a]\nwhen = request.size == 2\nrefuse = duration('1s')\n");
            run(scenario, """
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
