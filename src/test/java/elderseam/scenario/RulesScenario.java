package elderseam.scenario;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.io.TempDir;

/** Scenarios with a rules file; scripts may use the abbreviations that {@link #run} expands. */
abstract class RulesScenario {
    /** A rule that gives requests their lease and month as the idempotency key. */
    static final String LEASE = """
            [rule lease]
            when = has(body.lease)
            key = message.tenant + '/' + string(body.lease) + '/' + body.month
            """;

    private static final String PLATFORM_HEADERS = "X-Org: erongo-lettings; X-Addressing: dest=1; X-Remaining: 9000m;";
    private static final String PATIENT_PLATFORM_HEADERS =
            "X-Org: erongo-lettings; X-Addressing: dest=1; X-Remaining: 25000m;";
    private static final String EVENT_HEAD =
            "POST /events; ce-specversion: 1.0; ce-source: /books; ce-destination: 1; ce-tenant: erongo-lettings;"
                    + " Content-Type: application/json;";
    private static final String RENT_BODY = "{\"lease\": 12, \"month\": \"2026-12\", \"amount\": 100}";

    @TempDir
    Path folder;

    /** Where the rules file is. */
    final Path rulesFile() {
        return folder.resolve("a.rules");
    }

    /** Writes the rules file. */
    final void writeRules(String text) throws IOException {
        Files.writeString(rulesFile(), text);
    }

    /** A scenario whose settings name the rules file; not started yet. */
    final Scenario scenario(String rules) throws Exception {
        writeRules(rules);
        Scenario scenario = new Scenario(folder);
        scenario.launcher().setSettingsLines("[rules]\nfiles = " + rulesFile());
        return scenario;
    }

    /** Starts the program with these rules, and runs a script on it. */
    final void play(String rules, String script) throws Exception {
        try (Scenario scenario = scenario(rules)) {
            scenario.start();
            run(scenario, script);
        }
    }

    /**
     * Runs a script, in which {org} stands for the headers of a platform request, {org-patient} for those of one whose time
     * outlasts a slow restart, {event} for the head of an event,
     * {rent} for a body with a lease, and {folder} for the working folder.
     */
    final void run(Scenario scenario, String script) throws Exception {
        scenario.run(script.replace("{org}", PLATFORM_HEADERS)
                .replace("{org-patient}", PATIENT_PLATFORM_HEADERS)
                .replace("{event}", EVENT_HEAD)
                .replace("{rent}", RENT_BODY)
                .replace("{folder}", folder.toString()));
    }
}
