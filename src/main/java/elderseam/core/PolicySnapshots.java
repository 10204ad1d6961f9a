package elderseam.core;

import static elderseam.logging.LogField.error;

import elderseam.logging.EventLogger;
import elderseam.policy.PolicySettings;
import java.io.IOException;
import java.util.Optional;

/**
 * Saves the policy's learned state once a second, and restores it in the process that follows a crash. A failure is
 * logged and has no other consequence: the state improves decisions, but nothing depends on it. Confined to the
 * event-loop thread.
 */
public final class PolicySnapshots {
    private static final EventLogger LOG = EventLogger.of(PolicySnapshots.class);

    /** Minimum disk size for snapshots; a smaller disk is used by the journal alone. */
    private static final long MIN_DISK_BYTES = 1 << 20;

    private static final String STORE_NAME = "learned";

    /** Version of the layout that the policy writes; a snapshot with another layout is ignored. */
    private static final int LAYOUT = 1;

    private static final long SAVE_INTERVAL_NS = 1_000 * Clock.MILLISECOND_NS;

    private final Handover handover;
    private final PolicyFacade policy;
    private final Journal journal;
    private final Clock clock;
    private final EventLoop loop;
    private PolicySnapshotStore store;
    private boolean failing;

    PolicySnapshots(Handover handover, PolicyFacade policy, Journal journal, Clock clock, EventLoop loop) {
        this.handover = handover;
        this.policy = policy;
        this.journal = journal;
        this.clock = clock;
        this.loop = loop;
    }

    /**
     * Bytes to reserve for snapshots on a disk of {@code diskBytes}; 0 if the disk is too small for more than the
     * journal.
     */
    public static int reservedBytes(long diskBytes) {
        return diskBytes < MIN_DISK_BYTES ? 0 : PolicySnapshotStore.MAX_BYTES;
    }

    /**
     * Restores the state that an earlier process saved in this folder less than a minute ago, and starts saving the
     * state periodically. To be called before the first endpoint list is applied. Retry-After waits of the earlier
     * process count as over, so that requests which it accepted but did not send are sent.
     */
    public void restoreAndStartSaving() {
        try (JournalStore file = journal.siblingStore(STORE_NAME)) {
            Optional<byte[]> saved = new PolicySnapshotStore(file, settingsShape()).load();
            if (saved.isPresent()) {
                restore(new PolicySnapshotCodec.Reader(saved.get(), clock, true));
            }
        } catch (IOException e) {
            LOG.warn("snapshot.restore_failed", error(e));
        }
        startSaving();
    }

    private void restore(PolicySnapshotCodec.Reader snapshot) {
        if (snapshot.ageNs >= 0 && snapshot.ageNs < PolicySnapshotStore.MAX_AGE_NS) {
            policy.transferState(clock.now(), snapshot);
        }
    }

    /**
     * Starts saving the state periodically, without restoring any; for a process that has received the state by {@link
     * Handover#takeOver}.
     */
    public void startSaving() {
        try {
            store = new PolicySnapshotStore(journal.siblingStore(STORE_NAME), settingsShape());
            PeriodicTask.start(loop, clock, clock.now() + SAVE_INTERVAL_NS, SAVE_INTERVAL_NS, this::saveNow);
        } catch (IOException e) {
            LOG.warn("snapshot.save_failed", error(e));
        }
    }

    /**
     * Saves the state now. A failure is logged only once until a save succeeds, because the disk may fail for a while.
     */
    private long saveNow() {
        if (!handover.isTransferred()) {
            PolicySnapshotCodec.Writer snapshot = new PolicySnapshotCodec.Writer(clock);
            policy.transferState(clock.now(), snapshot);
            try {
                store.save(snapshot.bytes());
                failing = false;
            } catch (IOException e) {
                if (!failing) {
                    LOG.warn("snapshot.save_failed", error(e));
                }
                failing = true;
            }
        }
        return clock.now() + SAVE_INTERVAL_NS;
    }

    /** Encodes the layout version and the counts in the settings that the length of a snapshot depends on. */
    private int settingsShape() {
        PolicySettings settings = policy.settings();
        int classes = settings.classes().size();
        int kinds = settings.kinds().size();
        int tenants = settings.tenantRates().size();
        return (LAYOUT << 24) | (classes << 16) | (kinds << 8) | tenants;
    }
}
