package elderseam.testkit.emulator;

import elderseam.core.ActiveRequest;
import elderseam.core.AttemptListener;
import elderseam.core.EndpointCall;
import elderseam.core.FinalOutcome;
import elderseam.policy.BreakerView;
import elderseam.policy.ListUpdateKind;
import elderseam.policy.ListedEndpoint;
import java.util.List;
import java.util.function.BiConsumer;

/** One dispatcher of the fleet: the real core, or a plain policy to compare it with. */
interface EmulatedDispatcher {
    /** Where it is in the world: what it may use of it. */
    interface Place {
        VirtualTime time();

        Scenario plan();

        /** An attempt leaves for an endpoint; as {@link elderseam.core.AttemptSender#send}. */
        EndpointCall send(
                ActiveRequest.Message m, String endpoint, long connectBy, long answerBy, AttemptListener attempt);

        /** Its final answer for a message that it had taken on. */
        void ended(ActiveRequest.Message m, FinalOutcome answer);

        /** What it may know of a destination that nobody else does: for the oracle alone. */
        EmulatedDestination destination(long id);

        /** Its number in the fleet, and what it sees of the others. */
        int number();

        PartitionView.View view();

        /** A task of this life of its process: it is not run once the process has ended. */
        void at(long time, Runnable task);
    }

    /** As {@link elderseam.core.RequestDispatcher#take}: null where it was taken on. */
    FinalOutcome take(ActiveRequest.Message m);

    void hosts(ListUpdateKind kind, List<ListedEndpoint> list);

    /** The process is to end by that time. */
    default void closing(long end) {}

    /** How its breakers stand, where it has any. */
    default void breakers(BiConsumer<Long, BreakerView> each) {}

    /** What others say of a destination, where it listens. */
    default void advise(long destination, double doubt, double trying) {}
}
