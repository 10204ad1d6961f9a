package elderseam.app;

import elderseam.core.Clock;
import elderseam.fleet.ClockDriftBound;
import elderseam.fleet.config.ConfigurationVersion;
import elderseam.fleet.config.VersionActivation;
import elderseam.fleet.config.VersionTable;
import java.util.List;
import java.util.OptionalLong;

/**
 * The version that this member acts on, and whether it is in doubt: whether a newer one may be in effect that it has
 * not heard of. {@link VersionActivation} decides, by the member's clock at each call, so a process that was stalled is
 * in doubt the moment it goes on. Thread-safe: the I/O thread asks, the confirming thread tells.
 */
final class ActiveVersion {
    private final VersionActivation rule; // guarded by itself
    private final Clock clock;
    private final long boundNs;
    private final boolean neverInDoubt;
    private volatile String fault = "";

    /**
     * Starts in doubt.
     *
     * @param last what the member acted on last
     * @param boundMs how long a confirmation counts, in milliseconds
     * @param driftBound by how much a member's clock may run fast or slow
     * @param neverInDoubt a planted fault of a fault test: no confirmation is needed
     */
    ActiveVersion(
            ConfigurationVersion last, Clock clock, long boundMs, ClockDriftBound driftBound, boolean neverInDoubt) {
        this.rule = new VersionActivation(last, boundMs, driftBound);
        this.clock = clock;
        this.boundNs = boundMs * Clock.MILLISECOND_NS;
        this.neverInDoubt = neverInDoubt;
    }

    /** Whether it may not know of a newer version, or can't act on the one that counts. */
    boolean isInDoubt() {
        synchronized (rule) {
            return !neverInDoubt && (rule.inDoubt(clock.now()) || !fault.isEmpty());
        }
    }

    /** What the member acts on, or acted on last where it is in doubt. */
    ConfigurationVersion current() {
        synchronized (rule) {
            return rule.activeVersion();
        }
    }

    /** Why this member can't act on the version that counts; empty where it can. */
    String fault() {
        return fault;
    }

    /** Sets {@link #fault}. */
    void fault(String why) {
        fault = why;
    }

    /** Moves on with the clock; whether another version counts from now on. */
    boolean advance() {
        synchronized (rule) {
            return rule.advance(clock.now());
        }
    }

    /**
     * When to look again at {@link #advance} and {@link #isInDoubt}, within the interval, in the member's nanoseconds.
     */
    long nextCheckNs(long intervalNs) {
        synchronized (rule) {
            return rule.nextCheckNs(clock.now(), intervalNs);
        }
    }

    /**
     * The group answered a confirmation that was sent at {@code sentNs}; {@code latest} is committed as far as is known
     * here.
     */
    void confirmed(long sentNs, VersionTable.Outcome outcome, ConfigurationVersion latest) {
        synchronized (rule) {
            rule.onConfirmation(sentNs, clock.now(), outcome, latest);
        }
    }

    /**
     * For how long it may act without another confirmation, in nanoseconds; 0 in doubt, {@link Long#MAX_VALUE} for
     * ever.
     */
    long remainingNs() {
        if (neverInDoubt) {
            return Long.MAX_VALUE;
        }
        synchronized (rule) {
            return isInDoubt()
                    ? 0
                    : boundNs - rule.confirmationAgeNs(clock.now()).orElse(Long.MAX_VALUE);
        }
    }

    /** The first lines of the answer to an operator's CONFIG. */
    List<String> statusLines() {
        synchronized (rule) {
            OptionalLong ageNs = rule.confirmationAgeNs(clock.now());
            String confirmedMs = ageNs.isEmpty() ? "never" : Long.toString(ageNs.getAsLong() / Clock.MILLISECOND_NS);
            String next = rule.scheduled()
                    .map(version -> Long.toString(version.number()))
                    .orElse("none");
            return List.of(
                    "acting=" + VersionLabels.numbered(rule.activeVersion()),
                    "doubt=" + (isInDoubt() ? "yes" : "no"),
                    "confirmed_ms=" + confirmedMs,
                    "next=" + next);
        }
    }
}
