package elderseam.compat;

import elderseam.core.Lifecycle;
import elderseam.emulator.Checkers;
import elderseam.emulator.Plan;
import elderseam.fleet.lease.LeaseKeeper;
import elderseam.fleet.share.Subsets;
import elderseam.gossip.Agent;
import elderseam.gossip.trust.Door;
import elderseam.rules.lang.Type;
import java.util.Arrays;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** The names of enumerations' constants in reports, JSON, scenario files, histories and answers, in their order; constants may be renamed, these not. */
class WireNamesCompatTest {
    private final StringBuilder table = new StringBuilder();

    private <E> WireNamesCompatTest add(String what, E[] constants, Function<E, String> wireName) {
        table.append(what).append(": ").append(Arrays.stream(constants).map(wireName).collect(Collectors.joining(", "))).append('\n');
        return this;
    }

    @Test
    void namesAreAsRecorded() throws Exception {
        add("broken rule of a run", Checkers.Rule.values(), Checkers.Rule::wireName).add("limit of a kind", Plan.Limit.values(), Plan.Limit::wireName)
                .add("fault of a trouble", Plan.Fault.values(), Plan.Fault::wireName).add("arrivals of clients", Plan.Arrivals.values(), Plan.Arrivals::wireName)
                .add("how of a restart", Plan.How.values(), Plan.How::wireName).add("way of lab subsets", Subsets.Way.values(), Subsets.Way::wireName)
                .add("state on the control address", Lifecycle.State.values(), Lifecycle.State::wireName)
                .add("op of a history", LeaseKeeper.Ask.values(), LeaseKeeper.Ask::wireName)
                .add("type of an expression", Type.Plain.values(), Type::toString)
                .add("envelope dropped", Door.Drop.values(), Door.Drop::wireName).add("packet dropped", Agent.Drop.values(), Agent.Drop::wireName);
        RecordedText.check("cli/wire_names", table.toString());
    }
}
