package elderseam.fleet.lease;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.HashMap;
import java.util.Map;

/**
 * The replicated state of all leases: one holder a name at a time, and for each name a fencing token that only rises.
 *
 * <p>Every member applies the same commands in the order of the consensus log, each with the time the leader stamped on it
 * (milliseconds of the table's time as {@link LeaderClock} counts it on). The table's own time is the greatest stamp seen
 * so far. Nothing here reads a clock or does I/O, so the table is deterministic: the same log gives the same table on every
 * member and after every restart.
 *
 * <p>Not thread-safe: the engine applies one command at a time.
 */
public final class LeaseTable {
    /** What a command asks. {@code ttlMs} is used by acquire and renew; {@code token} by all but acquire; {@code value} by publish. */
    public enum Op {
        @JsonProperty("ACQUIRE")
        ACQUIRE,
        @JsonProperty("RENEW")
        RENEW,
        @JsonProperty("RELEASE")
        RELEASE,
        @JsonProperty("PUBLISH")
        PUBLISH
    }

    /** One command, as stored in the log: the leader's stamp {@code atMs} is set when the leader takes it in. */
    public record Command(
            @JsonProperty("op") Op op,
            @JsonProperty("name") String name,
            @JsonProperty("holder") String holder,
            @JsonProperty("token") long token,
            @JsonProperty("ttlMs") long ttlMs,
            @JsonProperty("atMs") long atMs,
            @JsonProperty("value") String value) {
        public Command {
            if (name.isEmpty() || holder.isEmpty()) {
                throw new IllegalArgumentException("a lease command needs a name and a holder");
            }
            if (op == Op.PUBLISH && (value == null || value.length() > MOST_VALUE)) {
                throw new IllegalArgumentException("a value to publish has at most " + MOST_VALUE + " characters");
            }
            if ((op == Op.ACQUIRE || op == Op.RENEW) && (ttlMs <= 0 || ttlMs > MOST_TTL_MS)) {
                throw new IllegalArgumentException("ttl_ms " + ttlMs + ": from 1 to " + MOST_TTL_MS + " allowed");
            }
        }

        public Command(Op op, String name, String holder, long token, long ttlMs, long atMs) {
            this(op, name, holder, token, ttlMs, atMs, null);
        }

        Command stamped(long at) {
            return new Command(op, name, holder, token, ttlMs, at, value);
        }
    }

    /**
     * What a command came to. {@code granted}: the holder has the lease with {@code token} until {@code untilMs} of the
     * table's time. Otherwise {@code holder} is who has it and {@code againMs} how long until it may be free (0 where it
     * was the holder's own to release, or it was not held).
     */
    public record Outcome(
            @JsonProperty("granted") boolean granted,
            @JsonProperty("holder") String holder,
            @JsonProperty("token") long token,
            @JsonProperty("untilMs") long untilMs,
            @JsonProperty("againMs") long againMs) {
        static Outcome refused(Lease held, long now) {
            return new Outcome(false, held.holder(), held.token(), held.untilMs(), Math.max(0, held.untilMs() - now));
        }
    }

    /** A name's lease: who has it, by which token, until when in the table's time. */
    public record Lease(
            @JsonProperty("holder") String holder,
            @JsonProperty("token") long token,
            @JsonProperty("untilMs") long untilMs) {}

    /** A lease longer than a minute is a lease that outlives its holder's failure by too long to be of use. */
    public static final long MOST_TTL_MS = 60_000;

    /** The longest value that a holder may publish: one entry of the log has to fit what the engine sends at once. */
    public static final int MOST_VALUE = 48_000;

    private final Map<String, String> published = new HashMap<>();
    private final Map<String, Lease> leases = new HashMap<>();
    private final Map<String, Long> tokens = new HashMap<>();
    private long now = Long.MIN_VALUE;

    /** Applies one command in log order; its effect depends on the table and the command alone. */
    public Outcome apply(Command c) {
        now = Math.max(now, c.atMs());
        Lease held = leases.get(c.name());
        boolean live = held != null && held.untilMs() > now;
        boolean own = live && held.holder().equals(c.holder());
        switch (c.op()) {
            case ACQUIRE -> {
                if (live && !own) {
                    return Outcome.refused(held, now);
                }
                // The holder that asks again keeps its token: a second grant of a new token to the same holder would
                // fence
                // off its own acts that are still under way.
                long token = own ? held.token() : tokens.merge(c.name(), 1L, Long::sum);
                return grant(c.name(), c.holder(), token, c.ttlMs());
            }
            case RENEW -> {
                if (!own || held.token() != c.token()) {
                    return live ? Outcome.refused(held, now) : new Outcome(false, "", lastToken(c.name()), now, 0);
                }
                return grant(c.name(), c.holder(), held.token(), c.ttlMs());
            }
            case RELEASE -> {
                if (own && held.token() == c.token()) {
                    leases.remove(c.name());
                    return new Outcome(true, "", held.token(), now, 0);
                }
                return live ? Outcome.refused(held, now) : new Outcome(false, "", lastToken(c.name()), now, 0);
            }
            case PUBLISH -> { // what a holder that no longer holds has found out is not passed on
                if (own && held.token() == c.token()) {
                    published.put(c.name(), c.value());
                    return new Outcome(true, held.holder(), held.token(), held.untilMs(), 0);
                }
                return live ? Outcome.refused(held, now) : new Outcome(false, "", lastToken(c.name()), now, 0);
            }
            default -> throw new AssertionError(c.op());
        }
    }

    private Outcome grant(String name, String holder, long token, long ttlMs) {
        Lease lease = new Lease(holder, token, now + ttlMs);
        leases.put(name, lease);
        return new Outcome(true, holder, token, lease.untilMs(), 0);
    }

    private long lastToken(String name) {
        return tokens.getOrDefault(name, 0L);
    }

    /** The table's time: the greatest stamp applied, in milliseconds since the fleet's first command. */
    public long now() {
        return now;
    }

    /** All of it, for a snapshot: every lease, every name's last token and last published value, and the time. */
    public record Image(
            @JsonProperty("leases") Map<String, Lease> leases,
            @JsonProperty("tokens") Map<String, Long> tokens,
            @JsonProperty("published") Map<String, String> published,
            @JsonProperty("nowMs") long nowMs) {}

    public Image image() {
        return new Image(Map.copyOf(leases), Map.copyOf(tokens), Map.copyOf(published), now);
    }

    /** Takes back a snapshot's state; the table's time is that of the snapshot. */
    public void restore(Image saved) {
        leases.clear();
        leases.putAll(saved.leases());
        tokens.clear();
        tokens.putAll(saved.tokens());
        published.clear();
        published.putAll(saved.published());
        now = saved.nowMs();
    }
}
