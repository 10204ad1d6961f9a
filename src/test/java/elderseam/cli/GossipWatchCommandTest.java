package elderseam.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import elderseam.gossip.HealthReport;
import elderseam.gossip.MemberState;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The states in {@code gossip watch --json}, as programs read them, in the order of their constants. */
class GossipWatchCommandTest {
    @Test
    void statesHaveTheirWireNames() {
        assertEquals(
                List.of("ALIVE", "SUSPECT", "DEAD", "LEFT"),
                Arrays.stream(MemberState.values())
                        .map(GossipWatchCommand::wireName)
                        .toList());
        assertEquals(
                List.of("CLOSED", "HALF_OPEN", "OPEN"),
                Arrays.stream(HealthReport.State.values())
                        .map(GossipWatchCommand::wireName)
                        .toList());
    }
}
