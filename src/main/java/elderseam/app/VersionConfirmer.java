package elderseam.app;

import static elderseam.logging.LogField.error;

import elderseam.core.Clock;
import elderseam.fleet.config.ConfigurationVersion;
import elderseam.fleet.config.VersionStore;
import elderseam.fleet.config.VersionTable;
import elderseam.fleet.lease.LeaseGroup;
import elderseam.fleet.lease.LeaseStateMachine;
import elderseam.logging.EventLogger;
import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.locks.LockSupport;

/**
 * A daemon thread that keeps this member's version confirmed by the group: several times within the bound it checks
 * what is proposed, confirms, and stores what is committed. It waits for the group and for nothing else.
 */
final class VersionConfirmer {
    private static final EventLogger LOG = EventLogger.of(VersionConfirmer.class);

    /** Confirmations sent within the bound: one answer may be lost, and one late. */
    private static final int CONFIRMATIONS_PER_BOUND = 4;

    private final LeaseGroup group;
    private final String member;
    private final ActiveVersion active;
    private final VersionStore folder;
    private final VersionLoader loader;
    private final Clock clock;
    private final long intervalNs;
    private final boolean activatesAtCommit;
    private final Runnable onConfirmed;
    private final Thread thread;
    private long checkedNumber;
    private long storedNumber;
    private volatile boolean stopped;

    /**
     * Starts the thread.
     *
     * @param member this member's name in the group
     * @param boundMs how long a confirmation counts, in milliseconds
     * @param activatesAtCommit a planted fault of a fault test: versions take effect when they are committed
     * @param onConfirmed called on the thread after each answer of the group
     */
    VersionConfirmer(
            LeaseGroup group,
            String member,
            ActiveVersion active,
            VersionStore folder,
            VersionLoader loader,
            Clock clock,
            long boundMs,
            boolean activatesAtCommit,
            Runnable onConfirmed) {
        this.group = group;
        this.member = member;
        this.active = active;
        this.folder = folder;
        this.loader = loader;
        this.clock = clock;
        this.intervalNs = boundMs * Clock.MILLISECOND_NS / CONFIRMATIONS_PER_BOUND;
        this.activatesAtCommit = activatesAtCommit;
        this.onConfirmed = onConfirmed;
        this.thread = new Thread(this::run, "versions");
        thread.setDaemon(true);
        thread.start();
    }

    /** Confirms at once: something was proposed, committed or refused. Any thread may call it. */
    void wakeUp() {
        LockSupport.unpark(thread);
    }

    /** Confirms no more. Any thread may call it. */
    void stop() {
        stopped = true;
        wakeUp();
    }

    private void run() {
        while (!stopped) {
            try {
                checkProposal();
                confirm();
            } catch (InterruptedException e) {
                return;
            } catch (IOException
                    | RuntimeException e) { // the next round may succeed; until then the member is in doubt
                LOG.warn("configuration.confirmation_failed", error(e));
            }
            LockSupport.parkNanos(intervalNs);
        }
    }

    /** Reads what is proposed as if it were to take effect, and reports to the group what is wrong with it here. */
    private void checkProposal() throws InterruptedException, IOException {
        Optional<ConfigurationVersion> pending = group.localVersions().pending();
        if (pending.isEmpty() || pending.get().number() <= checkedNumber) {
            return;
        }
        ConfigurationVersion proposal = pending.get();
        String fault = "";
        try {
            loader.read(proposal);
        } catch (IOException e) {
            fault = VersionLabels.firstLine(e, e.toString());
        }
        try {
            group.submit(VersionTable.Command.reportValidation(member, proposal.number(), fault))
                    .get();
            checkedNumber = proposal.number();
        } catch (ExecutionException e) {
            // No majority, or no link: reported again in the next round.
        }
    }

    private void confirm() throws InterruptedException, IOException {
        long sentNs = clock.now();
        VersionTable.Outcome outcome;
        try {
            outcome = group.submit(VersionTable.Command.confirm(member)).get();
        } catch (ExecutionException e) {
            return; // no majority, or no link: the last confirmation runs out
        }
        LeaseStateMachine.VersionView applied = group.localVersions();
        ConfigurationVersion latest = applied.latest();
        if (latest.number() != storedNumber) {
            folder.retain(applied.committed());
            storedNumber = latest.number();
        }
        active.confirmed(sentNs, outcome, activatesAtCommit ? latest.effectiveAt(0) : latest);
        onConfirmed.run();
    }
}
