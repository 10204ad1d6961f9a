package elderseam.fleet.lease;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * The configuration of one member of a lease group.
 *
 * @param groupName the group's name, from which its id is derived; the same on every member
 * @param memberName this member's name
 * @param listenAddress the address on which this member listens, which may differ from the one that other members
 *     connect to
 * @param initialMembers the addresses of the group's initial members by name, to which other members connect; the same
 *     on every initial member. A member that joins an existing group is not included and is added by
 *     {@link LeaseGroup#changeMembers}.
 * @param directory the member's data directory, created if missing. If it contains a log, the log is recovered, and the
 *     members recorded in the log replace {@code initialMembers}.
 * @param minElectionTimeoutMs the minimum time, in milliseconds, for which a follower waits for its leader before it
 *     starts an election; the maximum is twice that
 * @param incarnation unique to each start of the process, so that a lease of the previous process belongs to a
 *     different holder
 * @param clock the member's monotonic clock in nanoseconds
 * @param listener notified of changes in the group, on threads of the engine
 * @param commandsPerSnapshot how many commands are applied between two snapshots, normally {@link
 *     #DEFAULT_COMMANDS_PER_SNAPSHOT}
 */
public record LeaseGroupConfiguration(
        String groupName,
        String memberName,
        InetSocketAddress listenAddress,
        Map<String, InetSocketAddress> initialMembers,
        Path directory,
        long minElectionTimeoutMs,
        String incarnation,
        LongSupplier clock,
        LeaseStateMachine.Listener listener,
        long commandsPerSnapshot) {
    /** The number of commands between two snapshots, except in tests. */
    public static final long DEFAULT_COMMANDS_PER_SNAPSHOT = 2_000;

    /** Returns the member's name and incarnation, which identify it as a holder in the lease table. */
    String holderId() {
        return memberName + "/" + incarnation;
    }
}
