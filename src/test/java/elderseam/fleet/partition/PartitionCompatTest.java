package elderseam.fleet.partition;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import elderseam.compat.RecordedResource;
import elderseam.fleet.BreakerState;
import elderseam.gossip.HealthReport;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Members agree on shares and turns without a word, so members of different builds have to come to the same ones. */
class PartitionCompatTest {
    private static final List<String> MEMBERS = List.of("n1", "n2", "n3", "n4", "n5");
    private static final List<String> HOSTS =
            List.of("10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80", "10.0.0.4:80", "10.0.0.5:80", "10.0.0.6:80");

    @Test
    void preferredEndpoints() throws IOException {
        List<String> computed = new ArrayList<>();
        for (int size = 1; size <= 5; size += 2) {
            computed.add("sre " + size + " "
                    + EndpointSubsetting.assign(EndpointSubsetting.Algorithm.SRE, MEMBERS, HOSTS, size));
            computed.add("rendezvous " + size + " "
                    + EndpointSubsetting.assign(EndpointSubsetting.Algorithm.RENDEZVOUS, MEMBERS, HOSTS, size));
            computed.add("bounded " + size + " "
                    + EndpointSubsetting.assign(EndpointSubsetting.Algorithm.BOUNDED, MEMBERS, HOSTS, size));
        }
        assertEquals(RecordedResource.linesOrRecord("share/subsets", computed), computed);
    }

    @Test
    void turns() throws IOException {
        List<String> computed = new ArrayList<>();
        for (String task : List.of("7", "8", "-1", "discovery", "")) {
            computed.add(task + " " + TurnSchedule.owner(task, MEMBERS).orElseThrow() + " "
                    + MEMBERS.stream()
                            .map(m -> TurnSchedule.position(task, MEMBERS, m))
                            .toList());
        }
        assertEquals(RecordedResource.linesOrRecord("share/turns", computed), computed);
    }

    /** A breaker's state, and what others say of theirs, become a turn's by their names. */
    @Test
    void statesOfBreakersShareTheirNames() {
        assertArrayEquals(names(BreakerState.values()), names(HealthReport.State.values()));
        assertArrayEquals(names(BreakerState.values()), names(elderseam.policy.BreakerState.values()));
    }

    private static String[] names(Enum<?>[] values) {
        return Arrays.stream(values).map(Enum::name).toArray(String[]::new);
    }
}
