package elderseam.fleet.rig;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
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
        FleetRun.Result r = FleetRun.run(new FleetRun.Terms("leases", 20, 11, null, folder), System.out::println);
        assertEquals(List.of(), r.violations());
        assertTrue(((Number) r.figures().get("takeovers")).longValue() > 0, "some holder was killed: " + r.figures());
    }

    /** The planted faults on real processes: a store that fences nothing off, and links that stay cut. */
    @Test
    void aStoreWithoutAFenceIsFoundOut() throws Exception {
        FleetRun.Terms terms = new FleetRun.Terms("leases", 5, 1, "no-fence", folder);
        List<Fault> stall = List.of(Fault.parse(300, "stall holder 6000"));
        Plan plan = new Plan(3, 1_200, 5, 150, 6_500, java.util.Map.of(), stall);
        assertTrue(FleetRun.run(plan, terms, System.out::println).violations().stream()
                .anyMatch(v -> v.startsWith("fencing: ")));
    }
}
