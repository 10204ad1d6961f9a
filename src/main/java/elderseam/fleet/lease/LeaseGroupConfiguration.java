package elderseam.fleet.lease;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * What a member needs to join its lease group.
 *
 * @param groupName the group's name, from which its id is derived: the same on every member
 * @param memberName this member's name
 * @param listenAddress where this member listens, which may differ from the address at which the others reach it
 * @param initialMembers the group's members by name, at the addresses where the others reach them: the same on every
 *     initial member. A member that joins an existing group is not among them and is added by {@link
 *     LeaseGroup#changeMembers}.
 * @param directory the member's own, created if missing. If it holds a log, the log is recovered, and its record of the
 *     members outranks {@code initialMembers}.
 * @param minElectionTimeoutMs the least time, in milliseconds, that a follower waits for its leader before it stands
 *     for election; the greatest is twice that
 * @param incarnation new with each start of the process, so that a lease of the process before belongs to another
 *     holder
 * @param clock the member's monotonic clock in nanoseconds
 * @param listener notified of what the group learns, on threads of the engine
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
    /** How many commands are applied between two snapshots outside tests. */
    public static final long DEFAULT_COMMANDS_PER_SNAPSHOT = 2_000;

    /** The member's name and incarnation, by which the lease table knows it as a holder. */
    String holderId() {
        return memberName + "/" + incarnation;
    }
}
