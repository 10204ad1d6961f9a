package elderseam.emulator;

import elderseam.core.Answer;
import elderseam.core.Stream;
import elderseam.module.Sender;
import java.util.List;
import java.util.function.BiConsumer;

/** One dispatcher of the fleet: the real core, or a plain policy to compare it with. */
interface Instance {
    /** Where it is in the world: what it may use of it. */
    interface Place {
        VirtualTime time();

        Plan plan();

        /** An attempt leaves for an endpoint; as {@link elderseam.core.Upstream#send}. */
        elderseam.core.UpstreamRequest send(
                Stream.Message m, String endpoint, long connectBy, long answerBy, elderseam.core.Attempt attempt);

        /** Its final answer for a message that it had taken on. */
        void ended(Stream.Message m, Answer answer);

        /** What it may know of a destination that nobody else does: for the oracle alone. */
        Destination destination(long id);

        /** Its number in the fleet, and what it sees of the others. */
        int number();

        Shares.View view();

        /** A task of this life of its process: it is not run once the process has ended. */
        void at(long time, Runnable task);
    }

    /** As {@link elderseam.core.Relay#take}: null where it was taken on. */
    Answer take(Stream.Message m);

    void hosts(Sender.ListKind kind, List<Sender.Endpoint> list);

    /** The process is to end by that time. */
    default void closing(long end) {}

    /** How its breakers stand, where it has any. */
    default void breakers(BiConsumer<Long, Sender.Breaker> each) {}

    /** What others say of a destination, where it listens. */
    default void advise(long destination, double doubt, double trying) {}
}
