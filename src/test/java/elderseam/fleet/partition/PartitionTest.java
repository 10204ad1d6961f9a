package elderseam.fleet.partition;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import elderseam.fleet.partition.EndpointSubsetting.Way;
import elderseam.fleet.partition.TurnTakingTask.Other;
import elderseam.fleet.partition.TurnTakingTask.Standing;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Parts of what all do, by themselves. */
class PartitionTest {
    private static List<String> names(String of, int n) {
        return IntStream.range(0, n).mapToObj(i -> of + i).toList();
    }

    @Test
    void subsetsAreEvenAndFewMoveAsTheFleetGrowsAndShrinks() {
        List<String> hosts = names("s", 14);
        for (int n : new int[] {8, 30, 100, 300}) {
            Map<String, List<String>> all = EndpointSubsetting.all(Way.BOUNDED, names("m", n), hosts, 4);
            assertTrue(all.values().stream()
                    .allMatch(own -> own.size() == 4 && own.stream().distinct().count() == 4));
            assertTrue(
                    EndpointSubsetting.unevenness(all, hosts)
                            <= Math.max(1.15, Math.ceil(n * 4 / 14.0) / (n * 4 / 14.0) + 1e-9),
                    n + " members");
            assertEquals(
                    all,
                    EndpointSubsetting.all(
                            Way.BOUNDED,
                            names("m", n).stream()
                                    .sorted(java.util.Comparator.reverseOrder())
                                    .toList(),
                            hosts,
                            4),
                    "whatever the order of names");
            double moved =
                    EndpointSubsetting.moved(all, EndpointSubsetting.all(Way.BOUNDED, names("m", n + 1), hosts, 4));
            assertTrue(moved < 0.25, moved + " of the connections move when one joins " + n);
        }
        assertTrue(
                EndpointSubsetting.unevenness(EndpointSubsetting.all(Way.RENDEZVOUS, names("m", 100), hosts, 4), hosts)
                        > 1.15,
                "chance alone is not even");
        assertEquals(1, EndpointSubsetting.size(1_000, 14, 10, 2));
        assertEquals(14, EndpointSubsetting.size(10, 14, 0, 2), "no limit known: all");
        assertEquals(3, EndpointSubsetting.size(8, 12, 4, 2));
    }

    @Test
    void oneThatComesCountsAtOnceAndOneThatGoesAfterTheHold() {
        FleetSizeEstimator size = new FleetSizeEstimator(5, 1_000);
        assertEquals(5, size.sharers(0), "as told until something is seen");
        size.seen(0, 10);
        size.seen(100, 3);
        assertEquals(10, size.sharers(100));
        size.seen(500, 12);
        assertEquals(12, size.sharers(500));
        size.seen(600, 4);
        size.seen(900, 4);
        assertEquals(12, size.sharers(1_599), "it was there until 600");
        assertEquals(4, size.sharers(1_600), "however often the lower number is seen again");
        size.seen(5_000, 2);
        assertEquals(4, size.sharers(5_500));
        assertEquals(2, size.sharers(6_000));
    }

    @Test
    void aTurnIsOneMembersAndPassesOn() {
        List<String> all = new ArrayList<>(names("m", 20));
        for (String task : names("d", 50)) {
            String owner = TurnSchedule.owner(task, all);
            assertEquals(0, TurnSchedule.place(task, all, owner));
            List<String> rest = new ArrayList<>(all);
            rest.remove(owner);
            assertEquals(
                    1,
                    TurnSchedule.place(task, all, TurnSchedule.owner(task, rest)),
                    "the next one is the one behind it");
        }
        assertEquals(null, TurnSchedule.owner("d", List.of()));
    }

    private static String other(String task, String self, boolean first) {
        return names("x", 50).stream()
                .filter(m -> TurnSchedule.owner(task, List.of(self, m)).equals(m) == first)
                .findFirst()
                .orElseThrow();
    }

    @Test
    void theOthersWaitForTheOneWhoseTurnItIsAndForNobodyElse() {
        String first = other("7", "me", true), later = other("7", "me", false);
        TurnTakingTask duty = new TurnTakingTask("7", "me", 2_000);
        assertFalse(duty.defers(0, Standing.CLOSED, List.of(new Other(first, Standing.OPEN))));
        assertFalse(duty.defers(10, Standing.OPEN, List.of(new Other(later, Standing.OPEN))), "its own turn");
        assertTrue(duty.defers(20, Standing.OPEN, List.of(new Other(first, Standing.OPEN))));
        assertTrue(duty.defers(30, Standing.HALF_OPEN, List.of(new Other(first, Standing.HALF_OPEN))));
        assertFalse(
                duty.defers(2_100, Standing.HALF_OPEN, List.of(new Other(first, Standing.HALF_OPEN))),
                "it has nothing to try with");
        assertTrue(
                duty.defers(2_200, Standing.HALF_OPEN, List.of(new Other(first, Standing.OPEN))),
                "it has tried, in vain");
        assertFalse(duty.defers(2_300, Standing.HALF_OPEN, List.of()), "it is not heard of any more");
        assertTrue(duty.defers(2_400, Standing.HALF_OPEN, List.of(new Other(first, Standing.OPEN))));
        assertFalse(duty.defers(2_500, Standing.HALF_OPEN, List.of(new Other(first, Standing.CLOSED))), "it is back");
        assertFalse(
                duty.defers(2_600, Standing.HALF_OPEN, List.of(new Other(first, Standing.OPEN))),
                "and not waited for again in this outage");
        duty.defers(2_700, Standing.CLOSED, List.of());
        assertTrue(duty.defers(2_800, Standing.OPEN, List.of(new Other(first, Standing.OPEN))), "but in the next one");
    }
}
