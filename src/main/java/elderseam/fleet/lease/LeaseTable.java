package elderseam.fleet.lease;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The replicated state of all leases: at most one holder per lease at a time, and for each lease a fencing token that
 * only increases.
 *
 * <p>Every member applies the same commands in the order of the Raft log. Each command carries the leader's timestamp
 * (milliseconds of table time, see {@link LeaderClock}); the table time is the greatest timestamp applied so far.
 * The table reads no clock and does no I/O, so it is deterministic: the same log yields the same table on every member
 * and after every restart.
 *
 * <p>Not thread-safe; the state machine applies one command at a time under its lock.
 */
public final class LeaseTable {
    /**
     * The maximum time to live of a lease; with a longer one, a lease would remain held too long after its holder
     * failed.
     */
    public static final long MAX_TTL_MS = 60_000;

    /**
     * The maximum length of a published value in characters; a log entry must fit into one append request of the
     * engine.
     */
    public static final int MAX_VALUE_CHARS = 48_000;

    private static final long BEFORE_FIRST_COMMAND_MS = Long.MIN_VALUE;
    private static final String NO_HOLDER = "";

    private final Map<String, Lease> leases = new HashMap<>();
    private final Map<String, Long> lastTokens = new HashMap<>();
    private final Map<String, String> publishedValues = new HashMap<>();
    private long tableTimeMs = BEFORE_FIRST_COMMAND_MS;

    /** The operation of a command. The JSON names of the constants are part of the log format. */
    public enum Operation {
        /** Acquires the lease for the sender. */
        @JsonProperty("ACQUIRE")
        ACQUIRE,
        /** Extends the lease of its holder. */
        @JsonProperty("RENEW")
        RENEW,
        /** Releases the lease before it expires. */
        @JsonProperty("RELEASE")
        RELEASE,
        /** Publishes a value under the lease; only its holder may do so. */
        @JsonProperty("PUBLISH")
        PUBLISH
    }

    /**
     * One command, as stored in the log. The constructor throws {@link IllegalArgumentException} for a malformed
     * command, which must not be appended to the log.
     *
     * @param operation the requested operation
     * @param lease the name of the lease
     * @param holder the holder id of the requesting member, see {@link LeaseGroup#holderId}
     * @param token the fencing token of the lease that the sender holds; not used by ACQUIRE
     * @param ttlMs the requested time to live in milliseconds; used by ACQUIRE and RENEW
     * @param tableTimeMs the leader's timestamp, set when the leader accepts the command
     * @param value the value to publish; null unless the operation is PUBLISH
     */
    public record Command(
            @JsonProperty("op") Operation operation,
            @JsonProperty("name") String lease,
            @JsonProperty("holder") String holder,
            @JsonProperty("token") long token,
            @JsonProperty("ttlMs") long ttlMs,
            @JsonProperty("atMs") long tableTimeMs,
            @JsonProperty("value") String value) {
        /** Throws {@link IllegalArgumentException} with the reason if the command is malformed. */
        public Command {
            if (lease.isEmpty() || holder.isEmpty()) {
                throw new IllegalArgumentException("lease command without a lease name or holder");
            }
            if (operation == Operation.PUBLISH && (value == null || value.length() > MAX_VALUE_CHARS)) {
                throw new IllegalArgumentException(
                        "published value is missing or longer than " + MAX_VALUE_CHARS + " characters");
            }
            boolean needsTtl = operation == Operation.ACQUIRE || operation == Operation.RENEW;
            if (needsTtl && (ttlMs <= 0 || ttlMs > MAX_TTL_MS)) {
                throw new IllegalArgumentException(
                        "ttl_ms " + ttlMs + " is out of range: must be from 1 to " + MAX_TTL_MS);
            }
        }

        /** Creates a command without a value, for any operation except PUBLISH. */
        public Command(Operation operation, String lease, String holder, long token, long ttlMs, long tableTimeMs) {
            this(operation, lease, holder, token, ttlMs, tableTimeMs, null);
        }

        /** Returns the same command with the leader's timestamp. */
        Command stamped(long leaderTimeMs) {
            return new Command(operation, lease, holder, token, ttlMs, leaderTimeMs, value);
        }
    }

    /**
     * The result of a command, returned to the member that sent it.
     *
     * @param granted whether the operation was executed
     * @param holder the holder id of the current holder; empty if the lease is not held
     * @param token the fencing token of the lease, or the last one granted if the lease is not held
     * @param expiresAtMs when the lease expires, in table time; the current table time if the lease is not held
     * @param retryAfterMs after a refusal, the time in milliseconds until the lease may expire; 0 if it was not held
     */
    public record Outcome(
            @JsonProperty("granted") boolean granted,
            @JsonProperty("holder") String holder,
            @JsonProperty("token") long token,
            @JsonProperty("untilMs") long expiresAtMs,
            @JsonProperty("againMs") long retryAfterMs) {
        private static Outcome granted(Lease lease) {
            return new Outcome(true, lease.holder(), lease.token(), lease.expiresAtMs(), 0);
        }

        static Outcome refused(Lease held, long tableTimeMs) {
            long remainingMs = Math.max(0, held.expiresAtMs() - tableTimeMs);
            return new Outcome(false, held.holder(), held.token(), held.expiresAtMs(), remainingMs);
        }
    }

    /**
     * The last grant of a lease.
     *
     * @param holder the holder id, see {@link LeaseGroup#holderId}
     * @param token its fencing token
     * @param expiresAtMs when it expires, in table time
     */
    public record Lease(
            @JsonProperty("holder") String holder,
            @JsonProperty("token") long token,
            @JsonProperty("untilMs") long expiresAtMs) {}

    /**
     * The whole table, for a Raft snapshot.
     *
     * @param leases the leases by name, including expired ones
     * @param lastTokens the last fencing token granted, by lease
     * @param publishedValues the last value published, by lease
     * @param tableTimeMs the table time
     */
    public record Snapshot(
            @JsonProperty("leases") Map<String, Lease> leases,
            @JsonProperty("tokens") Map<String, Long> lastTokens,
            @JsonProperty("published") Map<String, String> publishedValues,
            @JsonProperty("nowMs") long tableTimeMs) {}

    /** Applies a command. Commands are applied in log order; the effect depends only on the table and the command. */
    public Outcome apply(Command command) {
        tableTimeMs = Math.max(tableTimeMs, command.tableTimeMs());
        return switch (command.operation()) {
            case ACQUIRE -> acquire(command);
            case RENEW -> renew(command);
            case RELEASE -> release(command);
            case PUBLISH -> publish(command);
        };
    }

    /**
     * A holder that acquires its lease again keeps the token: a new token would cause the resource to reject the
     * holder's own operations that are still in flight.
     */
    private Outcome acquire(Command command) {
        Optional<Lease> held = unexpiredLease(command.lease());
        if (held.isEmpty()) {
            return grant(command, lastTokens.merge(command.lease(), 1L, Long::sum));
        }
        Lease lease = held.get();
        return lease.holder().equals(command.holder())
                ? grant(command, lease.token())
                : Outcome.refused(lease, tableTimeMs);
    }

    private Outcome renew(Command command) {
        return isFromHolder(command) ? grant(command, command.token()) : refuse(command.lease());
    }

    private Outcome release(Command command) {
        if (!isFromHolder(command)) {
            return refuse(command.lease());
        }
        leases.remove(command.lease());
        return new Outcome(true, NO_HOLDER, command.token(), tableTimeMs, 0);
    }

    private Outcome publish(Command command) {
        if (!isFromHolder(command)) {
            return refuse(command.lease());
        }
        publishedValues.put(command.lease(), command.value());
        return Outcome.granted(leases.get(command.lease()));
    }

    private Outcome grant(Command command, long token) {
        Lease lease = new Lease(command.holder(), token, tableTimeMs + command.ttlMs());
        leases.put(command.lease(), lease);
        return Outcome.granted(lease);
    }

    private Outcome refuse(String lease) {
        return unexpiredLease(lease)
                .map(held -> Outcome.refused(held, tableTimeMs))
                .orElseGet(() -> new Outcome(false, NO_HOLDER, lastTokens.getOrDefault(lease, 0L), tableTimeMs, 0));
    }

    private Optional<Lease> unexpiredLease(String lease) {
        return Optional.ofNullable(leases.get(lease)).filter(held -> held.expiresAtMs() > tableTimeMs);
    }

    /** Whether the sender of the command holds the lease, unexpired and with the command's token. */
    private boolean isFromHolder(Command command) {
        return unexpiredLease(command.lease())
                .filter(held -> held.holder().equals(command.holder()) && held.token() == command.token())
                .isPresent();
    }

    /** The table time: the greatest timestamp applied, in milliseconds since the group's first command. */
    public long tableTimeMs() {
        return tableTimeMs;
    }

    /** Returns a copy of the whole state. */
    public Snapshot snapshot() {
        return new Snapshot(Map.copyOf(leases), Map.copyOf(lastTokens), Map.copyOf(publishedValues), tableTimeMs);
    }

    /** Replaces the whole state, including the table time, with that of a snapshot. */
    public void restore(Snapshot snapshot) {
        replace(leases, snapshot.leases());
        replace(lastTokens, snapshot.lastTokens());
        replace(publishedValues, snapshot.publishedValues());
        tableTimeMs = snapshot.tableTimeMs();
    }

    private static <V> void replace(Map<String, V> target, Map<String, V> source) {
        target.clear();
        target.putAll(source);
    }
}
