package elderseam.testkit.faults;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.ResourceLock;

/** Random faults against real processes; the long run is {@code elderseam fleet test --rounds 1000}. */
@ResourceLock("rig two") // each class starts some processes: two classes at a time
class NemesisTest {
    @TempDir
    Path folder;

    @Test
    void twentyRoundsWithoutAViolation() throws Exception {
        LeaseTestRun.Result result =
                LeaseTestRun.run(new LeaseTestRun.Terms("leases", 20, 11, null, folder), System.out::println);
        assertEquals(List.of(), result.violations());
        assertTrue(
                ((Number) result.figures().get("takeovers")).longValue() > 0,
                "some holder was killed: " + result.figures());
    }

    /** A planted fault on real processes: a store that refuses nothing. */
    @Test
    void aStoreWithoutAFenceIsFoundOut() throws Exception {
        LeaseTestRun.Terms terms = new LeaseTestRun.Terms("leases", 5, 1, "no-fence", folder);
        List<FaultInjection> stall = List.of(FaultInjection.parse(300, "stall holder 6000"));
        FaultSchedule plan = new FaultSchedule(3, 1_200, 5, 150, 6_500, Map.of(), stall);
        assertTrue(LeaseTestRun.run(plan, terms, System.out::println).violations().stream()
                .anyMatch(violation -> violation.startsWith("fencing: ")));
    }
}
