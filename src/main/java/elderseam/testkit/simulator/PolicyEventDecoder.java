package elderseam.testkit.simulator;

import elderseam.policy.CompletedAttempt;
import elderseam.policy.DispatchPolicy;
import elderseam.policy.ListUpdateKind;
import elderseam.policy.ListedEndpoint;
import elderseam.policy.PolicyRequest;
import java.util.List;
import java.util.function.Consumer;

/** Decodes the events of the wire into calls on a policy. A line is decoded whole before the policy is called. */
final class PolicyEventDecoder {
    /** The simulator ends a dispatcher's process. */
    static final String CRASH = "CRASH_NOW";

    private final EndpointListSlots lists;

    PolicyEventDecoder(EndpointListSlots lists) {
        this.lists = lists;
    }

    /**
     * Decodes one event.
     *
     * @param event its name on the wire
     * @param fields the fields after the name and the dispatcher
     * @param now time of the batch, in nanoseconds of the simulator's clock
     * @throws WireException if the event is unknown or one of its fields is malformed
     */
    Consumer<DispatchPolicy> decode(String event, LineFields fields, long now) {
        return switch (event) {
            case "UPDATE" -> endpointUpdate(fields, now);
            case "SUBMIT" -> {
                PolicyRequest request = WireCodec.request(fields);
                yield policy -> policy.request(now, request);
            }
            case "RESPONSE" -> {
                CompletedAttempt attempt = WireCodec.completedAttempt(fields);
                yield policy -> policy.outcome(now, attempt);
            }
            case "LAPSED" -> {
                String requestId = fields.text("corr");
                fields.end();
                yield policy -> policy.withdrawn(now, requestId);
            }
            case "TIMEOUT_FIRED" -> {
                long token = fields.number("handle");
                fields.end();
                yield policy -> policy.timer(now, token);
            }
            default -> eventWithoutCall(event, fields);
        };
    }

    private Consumer<DispatchPolicy> endpointUpdate(LineFields fields, long now) {
        String slot = fields.text("list slot");
        ListUpdateKind kind = WireCodec.updateKind(fields);
        fields.numberOr("generation", 0);
        fields.end();
        List<ListedEndpoint> endpoints = kind == ListUpdateKind.FAILED ? List.of() : lists.get(slot, fields);
        return policy -> policy.endpoints(now, kind, endpoints);
    }

    /** Checks the fields of the events that the policy has no part in. */
    private static Consumer<DispatchPolicy> eventWithoutCall(String event, LineFields fields) {
        switch (event) {
            case CRASH -> fields.end();
            case "CHECKED" -> WireCodec.checkHealthResult(fields);
            case "FIRST_BYTE" -> WireCodec.checkFirstByte(fields);
            case "DATAGRAM" -> WireCodec.checkDatagram(fields);
            default -> throw fields.fault("unknown event " + event);
        }
        return policy -> {};
    }
}
