package elderseam.control;

import java.net.InetSocketAddress;
import java.util.Map;

/** A command on the control address, decoded from its line by {@link OperatorCommandParser}. */
public sealed interface OperatorCommand {
    /** Whether the process is up, and in which state. */
    record Ping() implements OperatorCommand {}

    /** The process's metrics. */
    record Info() implements OperatorCommand {}

    /** Drains an endpoint, by its id in the endpoint list: no new request goes there. */
    record Detach(String endpointId) implements OperatorCommand {}

    /** Ends the drain of an endpoint. */
    record Attach(String endpointId) implements OperatorCommand {}

    /** Begins the drain of the process: new clients are not welcome. */
    record LameDuck() implements OperatorCommand {}

    /** Ends the drain of the process. */
    record Rejoin() implements OperatorCommand {}

    /**
     * Shows the fleet's leases, or changes the members of its lease group.
     *
     * @param members the members that the group is to have, by name, with unresolved addresses; empty to show only
     */
    record Fleet(Map<String, InetSocketAddress> members) implements OperatorCommand {}

    /** A command on the configuration versions that the fleet agrees on. */
    sealed interface Config extends OperatorCommand {}

    /** Shows which version is active here, and which are proposed. */
    record ConfigStatus() implements Config {}

    /** Shows what changes from one version to another; 0 is each member's own files. */
    record ConfigDiff(long fromVersion, long toVersion) implements Config {}

    /**
     * Proposes a settings file as a new version.
     *
     * @param parentVersion the version that the operator saw as the latest
     * @param hash the short hash of the content as the operator's tool read it
     * @param path an absolute path on the member's machine
     * @param note why, for the version's record
     */
    record ConfigPropose(long parentVersion, String hash, String path, String note) implements Config {}

    /** Proposes an earlier version's content as a new version; {@code note} says why. */
    record ConfigRollback(long version, String note) implements Config {}

    /** A line that is no command; {@code reason} says what is wrong, and what is allowed. */
    record Malformed(String reason) implements OperatorCommand {}
}
