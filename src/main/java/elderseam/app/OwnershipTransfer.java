package elderseam.app;

import static elderseam.logging.LogField.error;
import static elderseam.logging.LogField.field;

import elderseam.core.Clock;
import elderseam.core.Handover;
import elderseam.handover.HandoverChannel;
import elderseam.handover.HandoverFrame;
import elderseam.handover.HandoverListener;
import elderseam.handover.HandoverSender;
import elderseam.handover.OwnershipLock;
import elderseam.http.IoLoop;
import elderseam.logging.EventLogger;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * The older process's side of an upgrade: transfers its work to a newer process that asks for it, as {@link
 * HandoverSender} decides. Confined to the I/O thread; frames are received on the listener's thread and handed over to
 * it.
 */
final class OwnershipTransfer {
    private static final EventLogger LOG = EventLogger.of(OwnershipTransfer.class);

    /** What is transferred. Called on the I/O thread. */
    interface Service {
        /**
         * Stops deciding, accepting, watching discovery and notifying. Attempts in flight go on.
         *
         * @param onAttemptEnded receives the outcome of each of them from now on
         * @return all state that the newer process needs besides the journal
         */
        HandoverFrame.StateTransfer suspend(Consumer<Handover.ForwardedOutcome> onAttemptEnded);

        /** Takes {@link #suspend} back; {@code endedAttempts} ended meanwhile, and count now. */
        void resume(List<Handover.ForwardedOutcome> endedAttempts);

        /**
         * The newer process owns the work: forwards to it what clients still send, and exits once nothing is left.
         *
         * @param allResultsSent whether the newer process was sent every attempt's outcome so far
         */
        void retire(BooleanSupplier allResultsSent);

        /** The newer process wants this attempt, which is in flight here, cancelled. */
        void cancelAttempt(String requestId, int attempt);
    }

    private static final long RELOCK_INTERVAL_NS = 20 * Clock.MILLISECOND_NS;

    /** So long a newer process that failed may still hold the lock. */
    private static final long RELOCK_LIMIT_NS = 300 * Clock.MILLISECOND_NS;

    private final IoLoop io;
    private final OwnershipLock lock;
    private final Service service;
    private final HandoverSender sender = new HandoverSender();

    /** Since the transfer began; no more than were in flight then. */
    private final List<Handover.ForwardedOutcome> endedAttempts = new ArrayList<>();

    private HandoverChannel successor; // null until a newer process has asked
    private HandoverListener listener; // null where upgrades are not possible

    OwnershipTransfer(IoLoop io, OwnershipLock lock, Service service) {
        this.io = io;
        this.lock = lock;
        this.service = service;
    }

    /** Newer processes may ask from now on. Where no socket is possible the dispatcher serves on without. */
    void listen(Path stateDirectory) {
        if (!HandoverChannel.isSupported(stateDirectory)) {
            LOG.warn("handover.unavailable", field("error", "the path is too long for a socket: " + stateDirectory));
            return;
        }
        try {
            listener = HandoverListener.open(stateDirectory, this::receiveFrames);
        } catch (IOException e) {
            LOG.warn("handover.unavailable", error(e));
        }
    }

    private void receiveFrames(HandoverChannel channel) {
        channel.receiveAll(
                frame -> io.run(() -> onFrame(channel, frame)), () -> io.run(() -> onChannelClosed(channel)));
    }

    /** How far the transfer has come. */
    HandoverSender.State state() {
        return sender.state();
    }

    private void onFrame(HandoverChannel channel, HandoverFrame frame) {
        if (frame instanceof HandoverFrame.TransferRequest) {
            if (sender.onTransferRequested() == HandoverSender.Action.TRANSFER) {
                successor = channel;
                transfer();
            }
        } else if (channel != successor) {
            return;
        } else if (frame instanceof HandoverFrame.OwnershipConfirmed) {
            if (sender.onOwnershipConfirmed() == HandoverSender.Action.RETIRE) {
                retire();
            }
        } else if (frame instanceof HandoverFrame.AttemptCancellation cancellation) {
            service.cancelAttempt(cancellation.requestId(), cancellation.attempt());
        }
    }

    private void transfer() {
        LOG.info("handover.started");
        HandoverFrame.StateTransfer state = service.suspend(this::onAttemptEnded);
        try {
            lock.release();
        } catch (IOException e) { // the newer process will not get the lock, and gives up
            LOG.warn("handover.lock_release_failed", error(e));
        }
        successor.send(state);
    }

    private void onAttemptEnded(Handover.ForwardedOutcome attempt) {
        if (sender.state() == HandoverSender.State.TRANSFERRING) {
            endedAttempts.add(attempt);
        }
        successor.send(new HandoverFrame.AttemptCompletion(attempt));
    }

    private void retire() {
        LOG.info("handover.confirmed");
        endedAttempts.clear();
        try {
            listener.close();
        } catch (IOException e) {
            LOG.warn("handover.listener_close_failed", error(e));
        }
        service.retire(successor::isFlushed);
    }

    private void onChannelClosed(HandoverChannel channel) {
        if (channel != successor) {
            return;
        }
        switch (sender.onChannelClosed()) {
            case RESUME -> {
                LOG.warn("handover.rolled_back");
                successor = null;
                relock(io.clock.now() + RELOCK_LIMIT_NS);
            }
            case FAIL -> {
                LOG.error("handover.successor_lost");
                Runtime.getRuntime().halt(1);
            }
            case NONE, TRANSFER, RETIRE -> {
                // This end had no part in a transfer.
            }
        }
    }

    /**
     * Decides nothing until the lock is held again: the newer process may be dying with it. Where that one lives it
     * owns the work, and this one exits.
     */
    private void relock(long deadlineNs) {
        try {
            if (lock.tryAcquire()) {
                List<Handover.ForwardedOutcome> ended = List.copyOf(endedAttempts);
                endedAttempts.clear();
                service.resume(ended);
                return;
            }
        } catch (IOException e) {
            LOG.warn("handover.lock_failed", error(e));
        }
        if (io.clock.now() > deadlineNs) {
            LOG.error("handover.lock_lost");
            Runtime.getRuntime().halt(1);
        }
        io.at(io.clock.now() + RELOCK_INTERVAL_NS, () -> relock(deadlineNs));
    }
}
