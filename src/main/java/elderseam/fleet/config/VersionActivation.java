package elderseam.fleet.config;

import elderseam.fleet.ClockDriftBound;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Determines which configuration version a member may act on, by the member's own clock. The member may act on a
 * version only while a confirmation by the group, requested within the bound T, rules out that a newer version is in
 * effect; the age of a confirmation counts from the instant at which the request was sent. When the confirmation
 * expires, the member is in doubt: it makes no decision that an unknown newer version may contradict
 * (docs/fleet-config.md lists these decisions).
 *
 * <p>A version is committed with an instant of effect in table time, and each answer to a confirmation request contains
 * the current table time. The version takes effect on this member when that instant has certainly been reached: the
 * remaining time is counted by this member's clock from the receipt of the latest answer. The instants at which two
 * members switch versions differ by the latency of an answer plus the drift of their clocks since then. If the table
 * time stood still during a change of leader, the difference may reach T, but no more, because a member that did not
 * learn of the change is in doubt by then.
 *
 * <p>Does no I/O; not thread-safe. Times are nanoseconds of the member's monotonic clock.
 */
public final class VersionActivation {
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** The time of the latest confirmation while none has been received. */
    private static final long NEVER = Long.MIN_VALUE;

    private final long confirmationValidNs;
    private ConfigurationVersion activeVersion;
    private Optional<ConfigurationVersion> scheduled = Optional.empty();
    private long confirmedUntilNs = NEVER;
    private long tableTimeMs; // according to the latest confirmation
    private long tableTimeReceivedNs = NEVER;

    /**
     * @param lastActive the version that was active last; the member is in doubt until a confirmation is received
     * @param boundMs the bound T in milliseconds
     * @param driftBound the bound on the drift of any member's clock
     */
    public VersionActivation(ConfigurationVersion lastActive, long boundMs, ClockDriftBound driftBound) {
        this.activeVersion = lastActive;
        this.confirmationValidNs = (long) driftBound.shorten(boundMs * NANOS_PER_MILLI);
    }

    /**
     * Processes the group's answer to a confirmation request. If the group has committed a version that this member's
     * own copy of the table does not contain yet, the answer confirms nothing, and the earlier confirmation is not
     * extended.
     *
     * @param sentNs when the confirmation request was sent
     * @param nowNs when the answer was received
     * @param outcome the answer
     * @param localLatest the latest version that this member's copy of the table contains
     */
    public void onConfirmation(
            long sentNs, long nowNs, VersionTable.Outcome outcome, ConfigurationVersion localLatest) {
        if (outcome.latestNumber() != localLatest.number()) {
            return;
        }
        confirmedUntilNs = Math.max(confirmedUntilNs, sentNs + confirmationValidNs);
        tableTimeMs = outcome.tableTimeMs();
        tableTimeReceivedNs = nowNs;
        if (localLatest.number() > activeVersion.number()) {
            scheduled = Optional.of(localLatest);
        }
    }

    /**
     * Activates the scheduled version if its instant of effect has passed; returns whether the active version has
     * changed.
     */
    public boolean advance(long nowNs) {
        if (nowNs < effectNs()) {
            return false;
        }
        activeVersion = scheduled.orElseThrow();
        scheduled = Optional.empty();
        return true;
    }

    /**
     * Returns when the scheduled version takes effect, by this member's clock; {@link Long#MAX_VALUE} if none is
     * scheduled.
     */
    private long effectNs() {
        if (scheduled.isEmpty()) {
            return Long.MAX_VALUE;
        }
        long remainingMs = Math.max(0, scheduled.get().effectiveAtMs() - tableTimeMs);
        return tableTimeReceivedNs + remainingMs * NANOS_PER_MILLI;
    }

    /**
     * Returns when to check again: when the scheduled version takes effect or the latest confirmation expires,
     * whichever is earlier, if that instant lies in the future and within the interval; otherwise after the interval.
     * An instant that has already passed does not cause an immediate check, because a member in doubt would then check
     * continuously.
     */
    public long nextCheckNs(long nowNs, long intervalNs) {
        long changeNs = Math.min(effectNs(), confirmedUntilNs);
        long checkNs = nowNs + intervalNs;
        return changeNs > nowNs ? Math.min(checkNs, changeNs) : checkNs;
    }

    /** Returns whether a newer version that this member does not know may be in effect. */
    public boolean inDoubt(long nowNs) {
        return nowNs >= confirmedUntilNs;
    }

    /** Returns the version that the member acts on; while it is in doubt, the version that it acted on last. */
    public ConfigurationVersion activeVersion() {
        return activeVersion;
    }

    /** Returns the version that is committed but not in effect yet, if any. */
    public Optional<ConfigurationVersion> scheduled() {
        return scheduled;
    }

    /**
     * Returns how long ago the request for the latest accepted confirmation was sent, in nanoseconds; empty if there
     * was none.
     */
    public OptionalLong confirmationAgeNs(long nowNs) {
        if (confirmedUntilNs == NEVER) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(nowNs - (confirmedUntilNs - confirmationValidNs));
    }
}
