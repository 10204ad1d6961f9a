package elderseam.compat;

import elderseam.core.Lifecycle;
import elderseam.fleet.lease.LeaseTable;
import elderseam.fleet.partition.EndpointSubsetting;
import elderseam.gossip.DropReason;
import elderseam.gossip.security.EnvelopeDropReason;
import elderseam.rules.cel.Type;
import elderseam.testkit.emulator.RuleCheckers;
import elderseam.testkit.emulator.Scenario;
import java.util.Arrays;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** The names of enumerations' constants in reports, JSON, scenario files, histories and answers, in their order; constants may be renamed, these not. */
class WireNamesCompatTest {
    /** What a member requests of its own accord; the history of a fault test records these. */
    private static final LeaseTable.Operation[] REQUESTED_OPERATIONS = {
        LeaseTable.Operation.ACQUIRE, LeaseTable.Operation.RENEW
    };

    private final StringBuilder table = new StringBuilder();

    private <E> WireNamesCompatTest add(String what, E[] constants, Function<E, String> wireName) {
        table.append(what)
                .append(": ")
                .append(Arrays.stream(constants).map(wireName).collect(Collectors.joining(", ")))
                .append('\n');
        return this;
    }

    @Test
    void namesAreAsRecorded() throws Exception {
        add("broken rule of a run", RuleCheckers.Rule.values(), RuleCheckers.Rule::wireName)
                .add("limit of a kind", Scenario.Limit.values(), Scenario.Limit::wireName)
                .add("fault of a trouble", Scenario.Fault.values(), Scenario.Fault::wireName)
                .add("arrivals of clients", Scenario.Arrivals.values(), Scenario.Arrivals::wireName)
                .add("how of a restart", Scenario.How.values(), Scenario.How::wireName)
                .add(
                        "way of lab subsets",
                        EndpointSubsetting.Algorithm.values(),
                        EndpointSubsetting.Algorithm::wireName)
                .add("state on the control address", Lifecycle.State.values(), Lifecycle.State::wireName)
                .add("op of a history", REQUESTED_OPERATIONS, LeaseTable.Operation::name)
                .add("type of an expression", Type.Plain.values(), Type::toString)
                .add("envelope dropped", EnvelopeDropReason.values(), EnvelopeDropReason::wireName)
                .add("packet dropped", DropReason.values(), DropReason::wireName);
        RecordedResource.assertText("cli/wire_names", table.toString());
    }
}
