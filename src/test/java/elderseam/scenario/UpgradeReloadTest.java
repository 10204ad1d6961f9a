package elderseam.scenario;

import static org.junit.jupiter.api.Assertions.assertTrue;

import elderseam.handover.HandoverChannel;
import elderseam.handover.HandoverFrame;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

/**
 * A new configuration during an upgrade, told to the older process: guards against a newer process that acts on what it
 * read at its start, and sends notices to an address that discovery has left.
 */
class UpgradeReloadTest extends RulesScenario {
    private static final String MAY_HAVE_RUN = """
            platform deaf 0
            d send POST /rent-payment; {org} X-Txn: pay
            d expect 202
            h1 expect pay
            h1 close
            platform expect pay; undeliverable
            """;
    private static final String NEW_PLACE_IS_WATCHED =
            "platform send h3 SERVING\noperator wait INFO -> hosts_listed=3\n";

    private Scenario started() throws Exception {
        Scenario s = new Scenario(folder);
        s.launcher().useFixedAddress();
        s.start();
        return s;
    }

    @Test
    void whatTheOlderProcessWasToldBeforeTheTransferCounts() throws Exception {
        try (Scenario s = started()) {
            run(s, """
                    platform watched 60000
                    relay wait warming
                    platform move
                    older hangup
                    older expect reload.applied
                    relay resume
                    relay expect server.ready
                    """ + MAY_HAVE_RUN + NEW_PLACE_IS_WATCHED);
        }
    }

    /** The older process has passed its work on, and still has a call out: the signal reaches nobody who acts on it. */
    @Test
    void whatTheOlderProcessIsToldAfterTheTransferCounts() throws Exception {
        try (Scenario s = started()) {
            run(s, """
                    platform watched 60000
                    c send POST /status-update; {org-patient} X-Txn: say
                    c expect 202
                    h1 expect say
                    relay wait beside
                    platform move
                    older hangup
                    older expect reload.left_to_successor
                    relay expect reload.applied
                    h1 send 200
                    older wait exit 0
                    """ + MAY_HAVE_RUN + NEW_PLACE_IS_WATCHED);
        }
    }

    /** The older process has just ended, and the platform does not know yet that the newer one is ready. */
    @Test
    void aSignalToAnOlderProcessThatHasEndedCounts() throws Exception {
        try (Scenario s = started()) {
            run(s, """
                    platform watched 60000
                    relay wait beside
                    older wait exit 0
                    platform move
                    older hangup
                    relay expect reload.applied
                    """ + MAY_HAVE_RUN + NEW_PLACE_IS_WATCHED);
        }
    }

    /** The newer process fails: the older one acts on what it was told while its work was passed on. */
    @Test
    void whatWasToldDuringAnUpgradeThatFailsCounts() throws Exception {
        try (Scenario s = started()) {
            run(s, """
                    platform watched 60000
                    c send POST /status-update; {org} X-Txn: say
                    c expect 202
                    h1 expect say
                    h1 send 200
                    """);
            HandoverChannel channel = s.requestTransfer();
            assertTrue(channel.receive().orElseThrow() instanceof HandoverFrame.StateTransfer);
            run(s, "platform move\nrelay hangup\nrelay expect reload.deferred\n");
            channel.close();
            run(s, "relay expect reload.applied\n" + MAY_HAVE_RUN + NEW_PLACE_IS_WATCHED);
        }
    }

    /** A file that can't be read at the takeover leaves what the older process read before it; once whole, it counts. */
    @Test
    void aHalfWrittenFileLeavesWhatWasReadBefore() throws Exception {
        try (Scenario s = started()) {
            run(s, """
                    platform watched 60000
                    relay wait warming
                    platform move
                    older hangup
                    older expect reload.applied
                    """);
            s.launcher().writeConfiguration("{\"name\":\"n1\",\"discovery\":\"127.0.0.1:");
            run(s, """
                    relay resume
                    relay expect reload.rejected
                    relay expect reload.predecessor_adopted
                    relay expect server.ready
                    """ + MAY_HAVE_RUN + """
                    platform move
                    older hangup
                    relay expect reload.applied
                    """ + NEW_PLACE_IS_WATCHED);
        }
    }

    /** The same for the operator's rules, of which the settings name other files now. */
    @Test
    void rulesThatTheOlderProcessWasToldCount() throws Exception {
        try (Scenario s = scenario("[rule a]\nwhen = request.size == 1\nrefuse = duration('1s')\n")) {
            s.launcher().useFixedAddress();
            s.start();
            run(s, "platform watched 60000\nrelay wait warming\n");
            Path newRules = folder.resolve("b.rules");
            Files.writeString(newRules, "[rule a]\nwhen = request.size == 2\nrefuse = duration('1s')\n");
            Path settings = folder.resolve("elderseam.ini");
            Files.writeString(
                    settings, Files.readString(settings).replace(rulesFile().toString(), newRules.toString()));
            run(s, """
                    older hangup
                    older expect reload.applied
                    relay resume
                    relay expect server.ready
                    c send POST /status-update; {org} X-Txn: a | x
                    c expect 202
                    c send POST /status-update; {org} X-Txn: b | xx
                    c expect 503
                    """);
        }
    }
}
