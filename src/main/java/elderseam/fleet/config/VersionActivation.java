package elderseam.fleet.config;

/**
 * Which version a member may act on now, by its own clock. It acts on a version only while it has confirmed within the bound T
 * that nothing newer takes effect: a confirmation counts from the instant it was sent. Past that it is in doubt, and what may
 * contradict a version that it has not heard of is not acted on (docs/fleet-config.md says what that is).
 *
 * <p>A version is committed for an instant of the table's time, which each answer to a confirmation shows; it takes effect here
 * when that instant is sure to have come: counted from the receipt of the latest such answer, by this clock. Two members switch
 * apart by the time that an answer takes, and the drift of their clocks since; where the table's time stood still for a change of
 * leaders, by T at the most, since one that did not hear of that is in doubt by then.
 *
 * <p>Times are nanoseconds of the member's monotonic clock; not thread-safe.
 */
public final class VersionActivation {
    private static final long MS = 1_000_000;

    private final long boundNs;
    private final double drift;
    private ConfigurationVersion acting, next;
    private long sureUntil = Long.MIN_VALUE, tableMs, tableAt = Long.MIN_VALUE;
    private boolean behind = true; // the group has committed what this member's own copy of the table has not yet

    /** {@code acting}: what it acted on last, in doubt until it is confirmed; {@code boundMs}: T; {@code drift}: of any clock. */
    public VersionActivation(ConfigurationVersion acting, long boundMs, double drift) {
        this.acting = acting;
        this.boundNs = boundMs * MS;
        this.drift = drift;
    }

    /** The group answered a confirmation sent at {@code sentNs}: {@code latest} is committed, of which {@code known} is here. */
    public void confirmed(long sentNs, long nowNs, VersionTable.Outcome o, ConfigurationVersion known) {
        behind = o.latest() != known.number();
        if (behind) {
            return; // it may act on by its earlier word, no longer
        }
        sureUntil = Math.max(sureUntil, sentNs + (long) (boundNs * (1 - drift) / (1 + drift)));
        tableMs = o.nowMs();
        tableAt = nowNs;
        if (known.number() > acting.number()) {
            next = known;
        }
    }

    /** Moves with the clock; whether another version is acted on from now on. */
    public boolean tick(long nowNs) {
        if (next != null && nowNs >= effectAt(next)) {
            acting = next;
            next = null;
            return true;
        }
        return false;
    }

    private long effectAt(ConfigurationVersion v) {
        return tableAt + Math.max(0, v.effectMs() - tableMs) * MS;
    }

    /** When it is to look again at the latest: an effect, or the end of what it is sure of. */
    public long nextAt() {
        return Math.min(next == null ? Long.MAX_VALUE : effectAt(next), sureUntil);
    }

    /** Whether it may not know of a newer version that is in effect. */
    public boolean inDoubt(long nowNs) {
        return nowNs >= sureUntil;
    }

    /** What it acts on, where it is not in doubt; what it acted on last, where it is. */
    public ConfigurationVersion acting() {
        return acting;
    }

    /** Committed, and not in effect yet; null where there is none. */
    public ConfigurationVersion next() {
        return next;
    }

    /** How long ago the last confirmation that counts was sent, in nanoseconds; the longest there is where there was none. */
    public long ageNs(long nowNs) {
        return sureUntil == Long.MIN_VALUE
                ? Long.MAX_VALUE
                : nowNs - (sureUntil - (long) (boundNs * (1 - drift) / (1 + drift)));
    }
}
