package elderseam.app;

import static elderseam.logging.LogField.field;

import elderseam.core.Clock;
import elderseam.frontend.platform.PlatformConfiguration;
import elderseam.handover.HandoverChannel;
import elderseam.handover.HandoverFrame;
import elderseam.handover.HandoverReceiver;
import elderseam.handover.OwnershipLock;
import elderseam.http.IoLoop;
import elderseam.logging.EventLogger;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.xnio.XnioExecutor;

/**
 * How a starting process comes to own the state directory: at once where nobody does, or from an older process that
 * still serves, as {@link HandoverReceiver} decides. Used on the starting thread, which it blocks.
 */
final class OwnershipAcquisition {
    private static final EventLogger LOG = EventLogger.of(OwnershipAcquisition.class);

    /** The directory is this process's. */
    sealed interface Ownership {
        /** Held. */
        OwnershipLock lock();
    }

    /** There was no older process: what one left is recovered from the journal. */
    record Recovery(OwnershipLock lock) implements Ownership {}

    /** An older process sent its state, and still has the attempts that were in flight. */
    record Takeover(OwnershipLock lock, HandoverChannel channel, HandoverFrame.StateTransfer state)
            implements Ownership {}

    /** With an owner that neither ends nor answers. */
    private static final long SEARCH_LIMIT_NS = 10_000 * Clock.MILLISECOND_NS;

    private static final long SEARCH_INTERVAL_MS = 20;

    /**
     * An older process that answers nothing for so long is not waited for; it transfers its work in well under a
     * second.
     */
    private static final long ANSWER_LIMIT_NS = 10_000 * Clock.MILLISECOND_NS;

    private static final long WARM_UP_LIMIT_NS = 10_000 * Clock.MILLISECOND_NS;

    /** The older process released the lock before it sent its state, so this is for a slow machine alone. */
    private static final long LOCK_LIMIT_NS = 500 * Clock.MILLISECOND_NS;

    private static final long LOCK_INTERVAL_MS = 1;

    private final IoLoop io;
    private final PlatformConfiguration config;
    private final Path stateDirectory;
    private final OwnershipLock lock;
    private final HandoverReceiver receiver = new HandoverReceiver();

    private OwnershipAcquisition(IoLoop io, PlatformConfiguration config) throws IOException {
        this.io = io;
        this.config = config;
        this.stateDirectory = config.stateDirectory();
        this.lock = new OwnershipLock(stateDirectory);
    }

    /**
     * Waits until this process owns the state directory.
     *
     * @throws IOException if another process keeps it, or the directory can't be used
     */
    static Ownership acquire(IoLoop io, PlatformConfiguration config) throws IOException {
        try {
            return new OwnershipAcquisition(io, config).search();
        } catch (InterruptedException e) {
            throw new IOException("interrupted at the start", e);
        }
    }

    private Ownership search() throws IOException, InterruptedException {
        long deadlineNs = io.clock.now() + SEARCH_LIMIT_NS;
        while (io.clock.now() < deadlineNs) {
            Optional<HandoverChannel> channel = HandoverChannel.connect(stateDirectory);
            boolean locked = channel.isEmpty() && lock.tryAcquire();
            switch (receiver.onSearched(channel.isPresent(), locked)) {
                case RECOVER -> {
                    return new Recovery(lock);
                }
                case WARM_UP -> {
                    Optional<Takeover> takeover = takeOver(channel.orElseThrow());
                    if (takeover.isPresent()) {
                        return takeover.get();
                    }
                    deadlineNs = io.clock.now() + SEARCH_LIMIT_NS;
                }
                default -> Thread.sleep(SEARCH_INTERVAL_MS);
            }
        }
        throw new IOException("another process owns " + stateDirectory + ", and neither ends nor passes on");
    }

    /** Empty where the older process has gone, or kept its work. */
    private Optional<Takeover> takeOver(HandoverChannel channel) throws IOException, InterruptedException {
        warmUp();
        if (receiver.onWarmedUp() == HandoverReceiver.Action.REQUEST) {
            channel.send(new HandoverFrame.TransferRequest());
        }
        XnioExecutor.Key limit = io.schedule(io.clock.now() + ANSWER_LIMIT_NS, () -> giveUp(channel));
        Optional<HandoverFrame> answer = channel.receive();
        limit.remove();
        if (answer.isEmpty() || !(answer.get() instanceof HandoverFrame.StateTransfer state)) {
            channel.close();
            receiver.onChannelClosed();
            return Optional.empty();
        }
        if (receiver.onStateReceived(awaitLock()) != HandoverReceiver.Action.TAKE_OVER) {
            channel.close(); // the older process sees it and resumes
            return Optional.empty();
        }
        return Optional.of(new Takeover(lock, channel, state));
    }

    /** The older process has not answered; the search goes on, and ends where that one keeps the folder. */
    private static void giveUp(HandoverChannel channel) {
        LOG.warn("handover.answer_timed_out", field("limit_ms", ANSWER_LIMIT_NS / Clock.MILLISECOND_NS));
        channel.close();
    }

    private void warmUp() throws InterruptedException {
        LOG.info("handover.warmup_started");
        CountDownLatch warmedUp = new CountDownLatch(1);
        io.run(() -> StandbyWarmup.run(io, config, warmedUp::countDown));
        if (!warmedUp.await(WARM_UP_LIMIT_NS, TimeUnit.NANOSECONDS)) {
            LOG.warn("handover.warmup_timed_out", field("limit_ms", WARM_UP_LIMIT_NS / Clock.MILLISECOND_NS));
        }
    }

    private boolean awaitLock() throws IOException, InterruptedException {
        boolean locked = lock.tryAcquire();
        long deadlineNs = io.clock.now() + LOCK_LIMIT_NS;
        while (!locked && io.clock.now() < deadlineNs) {
            Thread.sleep(LOCK_INTERVAL_MS);
            locked = lock.tryAcquire();
        }
        return locked;
    }
}
