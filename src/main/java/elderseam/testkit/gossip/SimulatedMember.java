package elderseam.testkit.gossip;

import elderseam.gossip.GossipAgent;
import elderseam.testkit.emulator.VirtualTime;
import java.util.ArrayList;
import java.util.List;

/**
 * One member of a simulated fleet: a gossip agent with a clock of its own, which can be killed, started again and hung. After
 * each event it sends what the agent wants sent and schedules the agent's next tick.
 */
final class SimulatedMember {
    private static final long MS = 1_000_000;
    private static final long NO_TICK = Long.MAX_VALUE;

    private final String name;
    private final int partition;
    private final long clockOffsetNs;
    private final VirtualTime time;
    private final SimulatedNetwork network;
    private final List<Runnable> heldEvents = new ArrayList<>(); // what arrived while it hung
    private GossipAgent agent;
    private long tickAtNs = NO_TICK;
    private long startCount;
    private long bytesSent;
    private long datagramsSent;
    private boolean up;
    private boolean hung;

    /**
     * Creates a member that is down.
     *
     * @param partition members of different partitions can't reach each other while the network is partitioned
     * @param clockOffsetNs by how much its clock is ahead of the virtual time
     */
    SimulatedMember(String name, int partition, long clockOffsetNs, VirtualTime time, SimulatedNetwork network) {
        this.name = name;
        this.partition = partition;
        this.clockOffsetNs = clockOffsetNs;
        this.time = time;
        this.network = network;
    }

    String name() {
        return name;
    }

    int partition() {
        return partition;
    }

    GossipAgent agent() {
        return agent;
    }

    /** The time on this member's clock, in nanoseconds. */
    long now() {
        return time.now() + clockOffsetNs;
    }

    /** The same as its wall clock, in milliseconds. */
    long wallMs() {
        return now() / MS;
    }

    boolean isUp() {
        return up;
    }

    /** Whether it is up and not hung. */
    boolean isRunning() {
        return up && !hung;
    }

    /** Counts its starts, so that an event for an earlier process can be told. */
    long startCount() {
        return startCount;
    }

    /** Starts a new process with that agent. */
    void start(GossipAgent newAgent) {
        up = true;
        hung = false;
        startCount++;
        agent = newAgent;
        tickAtNs = NO_TICK;
        flush();
    }

    /** Ends its process without a word to the others. */
    void kill() {
        up = false;
    }

    /** Ends its process after it has told the others. */
    void leave() {
        agent.leave();
        flush();
        up = false;
    }

    /** Stops its process with its sockets open: what arrives waits. */
    void hang() {
        hung = true;
    }

    /** Lets a hung process go on, with what has arrived meanwhile. */
    void resume() {
        hung = false;
        List<Runnable> held = List.copyOf(heldEvents);
        heldEvents.clear();
        held.forEach(Runnable::run);
        flush();
    }

    /** Runs an event of the process with that start count: later if it hangs, never if that process has ended. */
    void run(long startedAs, Runnable event) {
        if (!up || startCount != startedAs) {
            return;
        }
        if (hung) {
            heldEvents.add(() -> run(startedAs, event));
            return;
        }
        event.run();
        flush();
    }

    /** Sends what the agent wants sent and schedules its next tick. */
    void flush() {
        for (GossipAgent.OutgoingDatagram datagram : agent.drainDatagrams(now())) {
            countBytes(SimulatedNetwork.ENVELOPE_BYTES + datagram.packet().length);
            datagramsSent++;
            network.sendDatagram(this, datagram.address(), datagram.packet());
        }
        for (String address : agent.drainStateExchanges()) {
            network.exchangeStates(this, address);
        }
        scheduleTick();
    }

    private void scheduleTick() {
        long next = agent.nextTickNs();
        boolean alreadyScheduled = next >= tickAtNs && tickAtNs >= now();
        if (next == NO_TICK || alreadyScheduled) {
            return;
        }
        tickAtNs = next;
        long startedAs = startCount;
        time.at(next - clockOffsetNs, () -> run(startedAs, () -> tick(next)));
    }

    private void tick(long scheduledNs) {
        if (tickAtNs == scheduledNs) {
            tickAtNs = NO_TICK;
        }
        agent.tick(now());
    }

    /** Adds to the bytes that it has sent. */
    void countBytes(long bytes) {
        bytesSent += bytes;
    }

    /** What it has sent since the last call. */
    SentTraffic takeTraffic() {
        SentTraffic sent = new SentTraffic(bytesSent, datagramsSent);
        bytesSent = 0;
        datagramsSent = 0;
        return sent;
    }
}
