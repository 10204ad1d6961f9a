package elderseam.fleet.lease;

import elderseam.fleet.config.VersionTable;

/**
 * A command in the group's Raft log. The log serves two tables whose commands get timestamps from one
 * {@link LeaderClock}.
 */
sealed interface GroupCommand {
    /** Returns the same command with the leader's timestamp, in milliseconds of table time. */
    GroupCommand stamped(long tableTimeMs);

    /** A command for the {@link LeaseTable}. */
    record LeaseCommand(LeaseTable.Command command) implements GroupCommand {
        @Override
        public LeaseCommand stamped(long tableTimeMs) {
            return new LeaseCommand(command.stamped(tableTimeMs));
        }
    }

    /** A command for the {@link VersionTable}. */
    record VersionCommand(VersionTable.Command command) implements GroupCommand {
        @Override
        public VersionCommand stamped(long tableTimeMs) {
            return new VersionCommand(command.stamped(tableTimeMs));
        }
    }
}
