package elderseam.app;

import elderseam.core.Clock;
import elderseam.frontend.platform.PlatformConfiguration;
import elderseam.handover.HandoverChannel;
import elderseam.handover.HandoverFrame;
import elderseam.handover.HandoverReceiver;
import elderseam.handover.OwnershipLock;
import elderseam.http.IoLoop;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;

/** How a process comes to own the folder: at once, or from an older process that still serves. On the starting thread, which may wait. */
final class OwnershipAcquisition {
    /** The folder is this process's; {@code link} and {@code given}: from an older one, else null. */
    record Won(OwnershipLock owner, HandoverChannel link, HandoverFrame.Give given) {}

    private static final long PATIENCE_NS = 10_000 * Clock.MS; // with an owner that neither ends nor answers
    private static final long LOCK_NS = 500 * Clock.MS; // the older one let go before it told
    private static final long AGAIN_MS = 20;

    private final IoLoop io;
    private final PlatformConfiguration config;
    private final Path folder;
    private final OwnershipLock owner;
    private final HandoverReceiver taking = new HandoverReceiver();

    private OwnershipAcquisition(IoLoop io, PlatformConfiguration config) throws IOException {
        this.io = io;
        this.config = config;
        this.folder = config.state();
        this.owner = new OwnershipLock(folder);
    }

    static Won seek(IoLoop io, PlatformConfiguration config) throws IOException {
        try {
            return new OwnershipAcquisition(io, config).seek();
        } catch (InterruptedException e) {
            throw new IOException("interrupted at the start", e);
        }
    }

    private Won seek() throws IOException, InterruptedException {
        for (long last = io.clock.now() + PATIENCE_NS; io.clock.now() < last; ) {
            HandoverChannel link = HandoverChannel.possible(folder) ? HandoverChannel.connect(folder) : null;
            switch (taking.looked(link != null, link == null && owner.take())) {
                case RECOVER -> {
                    return new Won(owner, null, null);
                }
                case WARM -> {
                    Won won = beside(link);
                    if (won != null) {
                        return won;
                    }
                    last = io.clock.now() + PATIENCE_NS;
                }
                default -> Thread.sleep(AGAIN_MS);
            }
        }
        throw new IOException("another process owns " + folder + ", and neither ends nor passes on");
    }

    /** Null where the older process has gone or kept its work. */
    private Won beside(HandoverChannel link) throws IOException, InterruptedException {
        System.err.println("another process serves; warming up beside it");
        CountDownLatch warm = new CountDownLatch(1);
        io.run(() -> StandbyWarmup.warm(io, config, warm::countDown));
        warm.await();
        if (taking.warm() == HandoverReceiver.Step.ASK) {
            link.send(new HandoverFrame.Take());
        }
        HandoverFrame frame = link.await();
        if (!(frame instanceof HandoverFrame.Give given)) {
            link.close();
            taking.lost();
            return null;
        }
        boolean locked = owner.take();
        for (long last = io.clock.now() + LOCK_NS; !locked && io.clock.now() < last; locked = owner.take()) {
            Thread.sleep(1);
        }
        if (taking.given(locked) != HandoverReceiver.Step.TAKE) {
            link.close(); // so the older one has its work back
            return null;
        }
        return new Won(owner, link, given);
    }
}
