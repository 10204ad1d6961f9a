package elderseam.testkit.gossip;

import elderseam.testkit.emulator.Policies;
import elderseam.testkit.emulator.VirtualTime;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/** The clients of one dispatcher: they hand in messages at random times (a Poisson process), each for one destination. */
final class SimulatedClients {
    private static final double SECOND_NS = 1e9;

    /** Of ten messages, five are of the first request class, three of the second and two of the third. */
    private static final int[] CLASS_OF_TEN = {0, 0, 0, 0, 0, 1, 1, 1, 2, 2};

    private final String dispatcher;
    private final VirtualTime time;
    private final Iterable<SimulatedDestination> destinations;
    private final Map<Long, Double> messagesPerSecond; // by destination
    private final double totalPerSecond;
    private final SplittableRandom random;
    private final Consumer<PendingMessage> submit;
    private int submitted;

    /**
     * Creates the clients.
     *
     * @param messagesPerSecond the mean rate for each destination
     * @param random shared with the dispatcher, so the order of draws is that of the events
     * @param submit hands a message to the dispatcher
     */
    SimulatedClients(
            String dispatcher,
            VirtualTime time,
            Iterable<SimulatedDestination> destinations,
            Map<Long, Double> messagesPerSecond,
            SplittableRandom random,
            Consumer<PendingMessage> submit) {
        this.dispatcher = dispatcher;
        this.time = time;
        this.destinations = destinations;
        this.messagesPerSecond = new HashMap<>(messagesPerSecond);
        this.totalPerSecond =
                messagesPerSecond.values().stream().mapToDouble(rate -> rate).sum();
        this.random = random;
        this.submit = submit;
    }

    /** Submits messages until that time. */
    void run(long endNs) {
        double intervals = -Math.log(1 - random.nextDouble());
        long at = time.now() + (long) (intervals / totalPerSecond * SECOND_NS);
        if (at < endNs) {
            time.at(at, () -> {
                submit.accept(newMessage());
                run(endNs);
            });
        }
    }

    private PendingMessage newMessage() {
        long destination = chooseDestination();
        int requestClass = CLASS_OF_TEN[random.nextInt(CLASS_OF_TEN.length)];
        long now = time.now();
        long deadline = now + Policies.CLASSES.get(requestClass).deadlineNs();
        String id = dispatcher + "-" + submitted;
        submitted++;
        return new PendingMessage(id, requestClass, destination, now, deadline);
    }

    /** A destination at random, weighted by its rate. */
    private long chooseDestination() {
        double remaining = random.nextDouble() * totalPerSecond;
        long chosen = 0;
        for (SimulatedDestination destination : destinations) {
            chosen = destination.id;
            remaining -= messagesPerSecond.get(chosen);
            if (remaining < 0) {
                break;
            }
        }
        return chosen;
    }
}
