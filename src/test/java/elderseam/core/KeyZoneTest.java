package elderseam.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import elderseam.policy.EndpointStatus;
import elderseam.policy.ListUpdateKind;
import elderseam.policy.ListedEndpoint;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against a keyed message that runs in a second zone, whose endpoints do not know its key, after a kill, an upgrade, or
 * the correction of its outcome.
 */
class KeyZoneTest {
    private static final String WEST = "west";
    private static final String EAST = "east";
    private static final long DESTINATION = 1;

    @TempDir
    Path folder;

    private DispatcherHarness harness;

    @BeforeEach
    void start() throws IOException {
        harness = new DispatcherHarness(
                folder,
                Map.of(
                        "services.0.effect", "by_key",
                        "services.0.keyScope", "zone",
                        "services.0.windowNs", "9000000000"));
        harness.dispatcher.setZones(List.of(WEST, EAST));
        list(harness.dispatcher, 1, "e");
        harness.submit("a");
        assertEquals(List.of("e"), harness.attemptEndpoints);
    }

    /** Lists one endpoint, the only one of the destination. */
    private static void list(RequestDispatcher dispatcher, int zone, String endpoint) {
        ListedEndpoint entry = new ListedEndpoint(endpoint, DESTINATION, 0, zone, EndpointStatus.READY, 100);
        dispatcher.updateEndpoints(ListUpdateKind.COMPLETE, List.of(entry));
    }

    /** Starts the next process, whose settings have these zones, and lists one endpoint in each. */
    private void restart(Journal journal, List<String> zones) {
        RequestDispatcher next = harness.newDispatcher(journal);
        next.setZones(zones);
        next.recover(() -> 0, () -> {});
        for (String zone : zones) {
            list(next, zones.indexOf(zone), "next-" + zone);
            harness.advance(1_000 * Clock.MILLISECOND_NS);
        }
    }

    @Test
    void aKeyStaysInItsZoneAfterAKill() throws IOException {
        restart(harness.newJournal(), List.of(WEST, EAST));
        assertEquals(List.of("e", "next-" + EAST), harness.attemptEndpoints);
    }

    /** The zone is kept by its name. */
    @Test
    void aKeyStaysInItsZoneIfTheSettingsNameItInAnotherPlace() throws IOException {
        restart(harness.newJournal(), List.of("north", EAST, WEST));
        assertEquals(List.of("e", "next-" + EAST), harness.attemptEndpoints);
    }

    /** As after an upgrade between two attempts, with a journal that was compacted meanwhile. */
    @Test
    void aKeyStaysInItsZoneAfterItsAttemptHasEnded() throws IOException {
        harness.attempts
                .get(0)
                .ended(AttemptOutcome.unanswered(AttemptOutcome.Progress.WRITTEN, AttemptOutcome.Status.BROKEN));
        restart(harness.newJournal(), List.of(WEST, EAST));
        assertEquals(
                List.of("e", "next-" + EAST),
                harness.attemptEndpoints.stream().distinct().toList());
    }

    /** What an earlier release has written: it may have run anywhere, so that no zone is safe. */
    @Test
    void aKeyOfAnUnknownZoneIsNotAttemptedAgain() throws IOException {
        try (Journal journal = new Journal(folder.resolve("old"), 1_000_000, harness.clock)) {
            long deadline = harness.clock.now() + 9_000 * Clock.MILLISECOND_NS;
            journal.accepted(new ActiveRequest.Message(
                    "old", (byte) 0, 0, -1, DESTINATION, deadline, deadline, false, true, "k", new byte[0]));
            journal.attemptBegins("old");
        }
        harness.completed.clear();
        restart(new Journal(folder.resolve("old"), 1_000_000, harness.clock), List.of(WEST, EAST));
        assertEquals(List.of("e"), harness.attemptEndpoints);
        assertEquals(List.of("old FAILED"), harness.completed);
    }
}
