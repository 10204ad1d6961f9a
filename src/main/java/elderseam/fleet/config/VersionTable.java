package elderseam.fleet.config;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.regex.Pattern;

/**
 * The replicated state of configuration versions: the committed versions and at most one proposal that is being
 * validated. The state depends only on the commands in the order of the Raft log; the leader stamps each command with
 * the table time (see {@code elderseam.fleet.lease.LeaderClock}).
 *
 * <p>A proposal names the version on which it is based. It is refused if that is not the latest version (compare and
 * set) or if another proposal is being validated. Each reachable member validates the proposal completely on its own
 * machine and reports the result; a single fault refuses the proposal for the whole fleet. The proposal is committed
 * when all members that confirmed within the bound T have found no fault and form a majority. The version takes effect
 * {@code activationDelayMs} after the commit. This delay is at least T, so that a member that has not learned of the
 * version by then is in doubt, and does not act on settings that the version may have changed.
 *
 * <p>Not thread-safe; the state machine applies one command at a time. Times are milliseconds of table time.
 */
public final class VersionTable {
    /** The maximum number of characters in the file names and contents, which must fit into one log entry. */
    public static final int MAX_CONTENT_CHARS = 40_000;

    /** The maximum length of a note in characters. */
    public static final int MAX_NOTE_CHARS = 200;

    /** The number of committed versions that the table keeps. */
    public static final int MAX_KEPT_VERSIONS = 12;

    /** A proposal is refused if no majority has validated it within this many times the bound T. */
    private static final int PROPOSAL_TIMEOUT_IN_BOUNDS = 10;

    private static final long BEFORE_FIRST_COMMAND_MS = Long.MIN_VALUE;
    private static final String ACCEPTED = "";
    private static final String NO_FAULT = "";
    private static final Pattern MEMBER_NAME = Pattern.compile("[A-Za-z0-9._-]{1,64}");

    private final TreeMap<Long, ConfigurationVersion> committed = new TreeMap<>();
    private final Map<String, Long> confirmedAtMs = new LinkedHashMap<>();
    private Proposal pending; // null if no proposal is being validated
    private Decision lastDecision = new Decision(0, "", ACCEPTED);
    private long tableTimeMs = BEFORE_FIRST_COMMAND_MS;
    private long lastNumber; // greatest number ever assigned, including those of refused proposals

    /** The operation that a command requests. The constants' JSON names are part of the log format. */
    public enum Operation {
        /** Validates and commits new file contents. */
        @JsonProperty("PROPOSE")
        PROPOSE,
        /** Records the result of a member's validation of the proposal. */
        @JsonProperty("CHECKED")
        CHECKED,
        /** Returns the number of the latest version, and records that the member is reachable. */
        @JsonProperty("CONFIRM")
        CONFIRM
    }

    /**
     * A command as it is stored in the log. The constructor throws {@link IllegalArgumentException} for a command that
     * must not enter the log.
     *
     * @param operation the requested operation
     * @param member the name of the requesting member
     * @param number for PROPOSE: the number of the parent version; for CHECKED: the number of the proposal
     * @param note for PROPOSE: the reason for the proposal
     * @param fileContents for PROPOSE: the file contents by file name
     * @param fault for CHECKED: the fault found in the proposal, empty if there is none
     * @param groupSize for PROPOSE: the number of members in the group
     * @param boundMs for PROPOSE: the bound T, the time for which a member may act on a confirmation, in milliseconds
     * @param activationDelayMs for PROPOSE: the time from commit to effect, in milliseconds
     * @param tableTimeMs the leader's timestamp, set when the leader accepts the command
     */
    public record Command(
            @JsonProperty("op") Operation operation,
            @JsonProperty("member") String member,
            @JsonProperty("number") long number,
            @JsonProperty("note") String note,
            @JsonProperty("texts") Map<String, String> fileContents,
            @JsonProperty("fault") String fault,
            @JsonProperty("members") int groupSize,
            @JsonProperty("boundMs") long boundMs,
            @JsonProperty("leadMs") long activationDelayMs,
            @JsonProperty("atMs") long tableTimeMs) {
        /** Throws {@link IllegalArgumentException} with the reason if the command is malformed. */
        public Command {
            if (operation == null
                    || member == null
                    || !MEMBER_NAME.matcher(member).matches()) {
                throw new IllegalArgumentException(
                        "member name '" + member + "' can't be used, allowed: 1 to 64 of A-Z a-z 0-9 . _ -");
            }
            if (operation == Operation.PROPOSE) {
                checkContent(note, fileContents);
                if (boundMs < 1 || activationDelayMs < boundMs || groupSize < 1) {
                    throw new IllegalArgumentException(
                            "the activation delay must be at least the bound, the bound and the group size at least 1");
                }
            }
        }

        private static void checkContent(String note, Map<String, String> files) {
            boolean contentsFit = files != null && ConfigurationVersion.countChars(files) <= MAX_CONTENT_CHARS;
            boolean noteFits = note != null && note.length() <= MAX_NOTE_CHARS;
            if (!contentsFit || !noteFits) {
                throw new IllegalArgumentException(
                        "a version has at most " + MAX_CONTENT_CHARS + " characters, and a note " + MAX_NOTE_CHARS);
            }
        }

        /** Creates a proposal of file contents that are based on the version {@code parent}. */
        public static Command propose(
                String member,
                long parent,
                String note,
                Map<String, String> files,
                int groupSize,
                long boundMs,
                long activationDelayMs) {
            return new Command(
                    Operation.PROPOSE, member, parent, note, files, NO_FAULT, groupSize, boundMs, activationDelayMs, 0);
        }

        /** Reports a member's validation of the proposal {@code number}; the fault is empty if there is none. */
        public static Command reportValidation(String member, long number, String fault) {
            return new Command(Operation.CHECKED, member, number, "", Map.of(), fault, 1, 1, 1, 0);
        }

        /** Creates a request for the number of the latest version. */
        public static Command confirm(String member) {
            return new Command(Operation.CONFIRM, member, 0, "", Map.of(), NO_FAULT, 1, 1, 1, 0);
        }

        /** Returns this command with the leader's timestamp. */
        public Command stamped(long leaderTimeMs) {
            return new Command(
                    operation,
                    member,
                    number,
                    note,
                    fileContents,
                    fault,
                    groupSize,
                    boundMs,
                    activationDelayMs,
                    leaderTimeMs);
        }
    }

    /**
     * The result of a command, sent back to the requesting member.
     *
     * @param refusalReason why the command was refused; empty if it was accepted
     * @param latestNumber the number of the latest committed version
     * @param tableTimeMs the table time
     */
    public record Outcome(
            @JsonProperty("word") String refusalReason,
            @JsonProperty("latest") long latestNumber,
            @JsonProperty("nowMs") long tableTimeMs) {
        /** Returns whether the command was accepted. */
        public boolean accepted() {
            return refusalReason.isEmpty();
        }
    }

    /**
     * A proposal that is being validated.
     *
     * @param version the proposed version
     * @param groupSize the number of members in the group
     * @param boundMs the bound T
     * @param activationDelayMs the time from commit to effect
     * @param proposedAtMs when the proposal was accepted, in table time
     * @param validationResults the fault found by each member that has validated the proposal, empty if it found none
     */
    public record Proposal(
            @JsonProperty("version") ConfigurationVersion version,
            @JsonProperty("members") int groupSize,
            @JsonProperty("boundMs") long boundMs,
            @JsonProperty("leadMs") long activationDelayMs,
            @JsonProperty("fromMs") long proposedAtMs,
            @JsonProperty("found") Map<String, String> validationResults) {
        private Proposal copy() {
            Map<String, String> resultsCopy = new LinkedHashMap<>(validationResults);
            return new Proposal(version, groupSize, boundMs, activationDelayMs, proposedAtMs, resultsCopy);
        }
    }

    /**
     * The decision on the proposal that was validated last.
     *
     * @param number the number of the proposal; 0 before the first decision
     * @param hash the hash of the proposal; empty before the first decision
     * @param refusalReason why the proposal was refused; empty if it was committed
     */
    public record Decision(
            @JsonProperty("number") long number,
            @JsonProperty("hash") String hash,
            @JsonProperty("word") String refusalReason) {}

    /**
     * The complete state of the table, for a Raft snapshot.
     *
     * @param committed the committed versions that are kept, oldest first
     * @param confirmedAtMs when each member last sent a confirmation request, in table time
     * @param pending the proposal that is being validated, or null
     * @param lastDecision the decision on the proposal before
     * @param tableTimeMs the table time
     * @param lastNumber the greatest number ever assigned
     */
    public record Snapshot(
            @JsonProperty("committed") List<ConfigurationVersion> committed,
            @JsonProperty("confirmed") Map<String, Long> confirmedAtMs,
            @JsonProperty("pending") Proposal pending,
            @JsonProperty("ended") Decision lastDecision,
            @JsonProperty("nowMs") long tableTimeMs,
            @JsonProperty("last") long lastNumber) {}

    /** Applies one command in log order; the result depends only on the table and the command. */
    public Outcome apply(Command command) {
        tableTimeMs = Math.max(tableTimeMs, command.tableTimeMs());
        String refusalReason = switch (command.operation()) {
            case PROPOSE -> propose(command);
            case CHECKED -> recordValidation(command);
            case CONFIRM -> confirm(command);
        };
        decidePending();
        return new Outcome(refusalReason, latest().number(), tableTimeMs);
    }

    private String confirm(Command command) {
        confirmedAtMs.put(command.member(), tableTimeMs);
        return ACCEPTED;
    }

    private String propose(Command command) {
        ConfigurationVersion latest = latest();
        if (isRetry(command)) {
            return ACCEPTED;
        }
        if (command.number() != latest.number()) {
            return "made from version " + command.number() + ", the latest is " + latest.number();
        }
        if (pending != null) {
            return "version " + pending.version().number() + ", proposed by "
                    + pending.version().author() + ", is being validated, ask again when that has ended";
        }
        if (tableTimeMs < latest.effectiveAtMs()) {
            long remainingMs = latest.effectiveAtMs() - tableTimeMs;
            return "version " + latest.number() + " takes effect in " + remainingMs + " ms, ask again then";
        }
        lastNumber++;
        ConfigurationVersion version = ConfigurationVersion.proposed(
                lastNumber, command.number(), command.member(), command.note(), command.fileContents());
        pending = new Proposal(
                version,
                command.groupSize(),
                command.boundMs(),
                command.activationDelayMs(),
                tableTimeMs,
                new LinkedHashMap<>());
        return ACCEPTED;
    }

    /** Returns whether the command is a retry of a proposal whose answer was lost. */
    private boolean isRetry(Command command) {
        return isProposalOf(command, latest()) || (pending != null && isProposalOf(command, pending.version()));
    }

    private static boolean isProposalOf(Command command, ConfigurationVersion version) {
        return version.number() > 0
                && version.parent() == command.number()
                && version.author().equals(command.member())
                && version.note().equals(command.note())
                && version.fileContents().equals(command.fileContents());
    }

    private String recordValidation(Command command) {
        if (pending == null || pending.version().number() != command.number()) {
            return "version " + command.number() + " is not being validated";
        }
        pending.validationResults().put(command.member(), command.fault());
        return ACCEPTED;
    }

    /** Commits or refuses the pending proposal once enough members have reported or the time for it has expired. */
    private void decidePending() {
        if (pending == null) {
            return;
        }
        Optional<String> fault = firstFault();
        if (fault.isPresent()) {
            concludePending("refused: " + fault.get());
        } else if (isValidated()) {
            commitPending();
            concludePending(ACCEPTED);
        } else if (tableTimeMs - pending.proposedAtMs() > PROPOSAL_TIMEOUT_IN_BOUNDS * pending.boundMs()) {
            concludePending("refused: not looked at by a majority in time");
        }
    }

    /** Returns the first reported fault, preceded by the member's name. */
    private Optional<String> firstFault() {
        return pending.validationResults().entrySet().stream()
                .filter(result -> !result.getValue().isEmpty())
                .map(result -> result.getKey() + ": " + result.getValue())
                .findFirst();
    }

    /**
     * Returns whether all members have validated the proposal, or a majority that includes every member that confirmed
     * within the bound T. In the latter case T must also have passed since the proposal: any other member is then in
     * doubt.
     */
    private boolean isValidated() {
        int validated = pending.validationResults().size();
        if (validated >= pending.groupSize()) {
            return true;
        }
        boolean isMajority = 2 * validated > pending.groupSize();
        boolean boundPassed = tableTimeMs - pending.proposedAtMs() >= pending.boundMs();
        return isMajority && boundPassed && pending.validationResults().keySet().containsAll(recentlyConfirmed());
    }

    private List<String> recentlyConfirmed() {
        return confirmedAtMs.entrySet().stream()
                .filter(confirmation -> tableTimeMs - confirmation.getValue() < pending.boundMs())
                .map(Map.Entry::getKey)
                .toList();
    }

    private void commitPending() {
        long effectiveAtMs = tableTimeMs + pending.activationDelayMs();
        committed.put(pending.version().number(), pending.version().effectiveAt(effectiveAtMs));
        while (committed.size() > MAX_KEPT_VERSIONS) {
            committed.pollFirstEntry();
        }
    }

    private void concludePending(String refusalReason) {
        lastDecision =
                new Decision(pending.version().number(), pending.version().hash(), refusalReason);
        pending = null;
    }

    /** Returns the latest committed version, or {@link ConfigurationVersion#NONE} before the first commit. */
    public ConfigurationVersion latest() {
        return committed.isEmpty()
                ? ConfigurationVersion.NONE
                : committed.lastEntry().getValue();
    }

    /** Returns a copy of the committed versions that are kept, oldest first. */
    public List<ConfigurationVersion> committed() {
        return new ArrayList<>(committed.values());
    }

    /** Returns the proposal that is being validated, if any. */
    public Optional<ConfigurationVersion> pending() {
        return Optional.ofNullable(pending).map(Proposal::version);
    }

    /** Returns the decision on the proposal that was validated last. */
    public Decision lastDecision() {
        return lastDecision;
    }

    /** Returns the table time: the greatest timestamp applied, in milliseconds since the first command of the group. */
    public long tableTimeMs() {
        return tableTimeMs;
    }

    /** Returns a copy of the complete state. */
    public Snapshot snapshot() {
        Proposal pendingCopy = pending == null ? null : pending.copy();
        Map<String, Long> confirmations = new LinkedHashMap<>(confirmedAtMs);
        return new Snapshot(committed(), confirmations, pendingCopy, lastDecision, tableTimeMs, lastNumber);
    }

    /** Replaces the complete state, including the table time, by that of a snapshot. */
    public void restore(Snapshot snapshot) {
        committed.clear();
        snapshot.committed().forEach(version -> committed.put(version.number(), version));
        confirmedAtMs.clear();
        confirmedAtMs.putAll(snapshot.confirmedAtMs());
        pending = snapshot.pending();
        lastDecision = snapshot.lastDecision();
        tableTimeMs = snapshot.tableTimeMs();
        lastNumber = snapshot.lastNumber();
    }
}
