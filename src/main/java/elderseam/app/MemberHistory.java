package elderseam.app;

import elderseam.core.Clock;
import elderseam.fleet.config.ConfigurationVersion;
import elderseam.fleet.lease.LeaseRenewer;
import elderseam.fleet.lease.LeaseTable;
import elderseam.fleet.lease.LeaseValidity;
import elderseam.fleet.selftest.FaultTestHistory;
import elderseam.settings.SettingKeys;
import elderseam.settings.Settings;
import java.io.IOException;
import java.nio.file.Path;

/**
 * What this member believes about its leases and its version, recorded for the checkers of a fault test; nothing is
 * recorded outside of one. Instants are of the machine's monotonic clock, which all members of a test share, while the
 * member's own clock may run fast or slow. Thread-safe.
 */
final class MemberHistory {
    private final FaultTestHistory history; // null outside of fault tests
    private final Clock clock;
    private final double clockRate;

    private MemberHistory(FaultTestHistory history, Clock clock, double clockRate) {
        this.history = history;
        this.clock = clock;
        this.clockRate = clockRate;
    }

    /** Records to the file that the settings name, or nothing where they name none. */
    static MemberHistory open(Settings settings, Clock clock) throws IOException {
        String file = settings.get(SettingKeys.REHEARSAL_HISTORY);
        FaultTestHistory history =
                file.isEmpty() ? null : new FaultTestHistory(Path.of(file), settings.get(SettingKeys.FLEET_NAME));
        return new MemberHistory(history, clock, settings.get(SettingKeys.REHEARSAL_CLOCK_PERCENT) / 100.0);
    }

    /** The history for further records, or null outside of fault tests. */
    FaultTestHistory history() {
        return history;
    }

    /** Whether anything is recorded. */
    boolean isRecording() {
        return history != null;
    }

    /**
     * The member acts on this version.
     *
     * @param remainingNs for how long at the most without another confirmation, by its own clock; {@link
     *     Long#MAX_VALUE} for ever
     */
    void activeVersion(ConfigurationVersion version, long remainingNs) {
        if (history == null) {
            return;
        }
        long nowNs = System.nanoTime();
        long untilNs = remainingNs == Long.MAX_VALUE ? Long.MAX_VALUE : machineTime(nowNs, remainingNs);
        history.eventAt(nowNs, "acting")
                .with("number", version.number())
                .with("hash", version.shortHash())
                .with("until_ns", untilNs)
                .append();
    }

    /** When so much will have passed on the member's own clock, as the machine's clock will show it. */
    private long machineTime(long machineNowNs, long memberNs) {
        return machineNowNs + (long) (memberNs / clockRate);
    }

    /** Records the lease requests that this holder makes, and what comes of them. */
    LeaseRenewer.Listener leaseListener(String holder) {
        return new LeaseEvents(holder);
    }

    private final class LeaseEvents implements LeaseRenewer.Listener {
        private final String holder;

        LeaseEvents(String holder) {
            this.holder = holder;
        }

        private FaultTestHistory.Event about(FaultTestHistory.Event event, String lease) {
            return event.with("lease", lease).with("holder", holder);
        }

        @Override
        public void requested(String lease, LeaseTable.Operation operation, long token) {
            if (history != null) {
                history.event("invoke")
                        .with("op", operation.name())
                        .with("lease", lease)
                        .with("token", token)
                        .with("holder", holder)
                        .append();
            }
        }

        @Override
        public void released(String lease) {
            if (history != null) {
                about(history.event("released"), lease).append();
            }
        }

        @Override
        public void granted(String lease, LeaseValidity validity) {
            if (history != null) {
                long nowNs = System.nanoTime();
                long untilNs = machineTime(nowNs, validity.expiresAtNs() - clock.now());
                about(history.eventAt(nowNs, "granted"), lease)
                        .with("token", validity.token())
                        .with("until_ns", untilNs)
                        .append();
            }
        }

        @Override
        public void refused(String lease, LeaseTable.Outcome outcome) {
            if (history != null) {
                about(history.event("refused"), lease)
                        .with("by", outcome.holder())
                        .with("token", outcome.token())
                        .append();
            }
        }

        @Override
        public void unanswered(String lease) {
            if (history != null) {
                about(history.event("unknown"), lease).append();
            }
        }
    }
}
