package elderseam.testkit.gossip;

import elderseam.gossip.Packet;
import elderseam.gossip.PacketCodec;
import elderseam.testkit.emulator.VirtualTime;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.SplittableRandom;

/** The network between simulated members: it loses, repeats, delays and reorders datagrams, and can be partitioned. */
final class SimulatedNetwork {
    /** The bytes of an envelope around each packet, with a short name: signature, key, token, number and clock. */
    static final int ENVELOPE_BYTES = 110;

    private static final long MS = 1_000_000;

    private final VirtualTime time;
    private final Map<String, SimulatedMember> members; // by address
    private final double loss;
    private final double repeat;
    private final SplittableRandom random;
    private boolean partitioned;

    /**
     * Creates a network.
     *
     * @param members by address; members may be added later
     * @param loss the share of datagrams that are lost
     * @param repeat the share of datagrams that are sent twice
     */
    SimulatedNetwork(
            VirtualTime time,
            Map<String, SimulatedMember> members,
            double loss,
            double repeat,
            SplittableRandom random) {
        this.time = time;
        this.members = members;
        this.loss = loss;
        this.repeat = repeat;
        this.random = random;
    }

    /** Whether members of different partitions are cut off from each other. */
    void setPartitioned(boolean partitioned) {
        this.partitioned = partitioned;
    }

    /** Sends a datagram; one to an unknown address is lost. */
    void sendDatagram(SimulatedMember from, String address, byte[] packet) {
        SimulatedMember to = members.get(address);
        long sentWallMs = from.wallMs();
        int copies = random.nextDouble() < repeat ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            boolean lost = random.nextDouble() < loss;
            long at = time.now() + randomDelayNs();
            if (!lost && to != null && canReach(from, to)) {
                time.at(at, () -> to.run(to.startCount(), () -> receive(to, from, packet, sentWallMs)));
            }
        }
    }

    private static void receive(SimulatedMember to, SimulatedMember from, byte[] packet, long sentWallMs) {
        Packet decoded = PacketCodec.decode(ByteBuffer.wrap(packet));
        to.agent().receive(from.name(), decoded, to.now(), to.wallMs(), sentWallMs);
    }

    /** Exchanges full states over a connection, which is made as a whole or not at all. */
    void exchangeStates(SimulatedMember caller, String address) {
        SimulatedMember callee = members.get(address);
        if (callee == null || callee == caller || !callee.isRunning() || !canReach(caller, callee)) {
            return;
        }
        Packet state = caller.agent().fullState(false, caller.now());
        caller.countBytes(encodedBytes(state));
        long callerStartedAs = caller.startCount();
        long sentWallMs = caller.wallMs();
        time.at(
                time.now() + randomDelayNs(),
                () -> callee.run(
                        callee.startCount(), () -> answerState(callee, caller, callerStartedAs, state, sentWallMs)));
    }

    private void answerState(
            SimulatedMember callee, SimulatedMember caller, long callerStartedAs, Packet state, long sentWallMs) {
        Packet answer = callee.agent()
                .receive(caller.name(), state, callee.now(), callee.wallMs(), sentWallMs)
                .orElseThrow();
        callee.countBytes(encodedBytes(answer));
        long answeredWallMs = callee.wallMs();
        time.at(
                time.now() + randomDelayNs(),
                () -> caller.run(
                        callerStartedAs,
                        () -> caller.agent()
                                .receive(callee.name(), answer, caller.now(), caller.wallMs(), answeredWallMs)));
    }

    private boolean canReach(SimulatedMember from, SimulatedMember to) {
        return !partitioned || from.partition() == to.partition();
    }

    /** From 0.5 to 4.5 ms, short ones more often, so that now and then one datagram overtakes another. */
    private long randomDelayNs() {
        return (long) (MS * (0.5 + 4 * random.nextDouble() * random.nextDouble()));
    }

    private static long encodedBytes(Packet packet) {
        int updates = packet.updates().stream()
                .mapToInt(update -> update.maxEncodedBytes())
                .sum();
        int reports = packet.reports().stream()
                .mapToInt(report -> report.encodedBytes())
                .sum();
        return (long) ENVELOPE_BYTES + updates + reports;
    }
}
