package elderseam.wiring;

import elderseam.core.Clock;
import elderseam.http.Io;
import elderseam.platform.Config;
import elderseam.upgrade.Frame;
import elderseam.upgrade.Link;
import elderseam.upgrade.Owner;
import elderseam.upgrade.Taking;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;

/** How a process comes to own the folder: at once, or from an older process that still serves. On the starting thread, which may wait. */
final class Accession {
    /** The folder is this process's; {@code link} and {@code given}: from an older one, else null. */
    record Won(Owner owner, Link link, Frame.Give given) {}

    private static final long PATIENCE_NS = 10_000 * Clock.MS; // with an owner that neither ends nor answers
    private static final long LOCK_NS = 500 * Clock.MS; // the older one let go before it told
    private static final long AGAIN_MS = 20;

    private final Io io;
    private final Config config;
    private final Path folder;
    private final Owner owner;
    private final Taking taking = new Taking();

    private Accession(Io io, Config config) throws IOException {
        this.io = io;
        this.config = config;
        this.folder = config.state();
        this.owner = new Owner(folder);
    }

    static Won seek(Io io, Config config) throws IOException {
        try {
            return new Accession(io, config).seek();
        } catch (InterruptedException e) {
            throw new IOException("interrupted at the start", e);
        }
    }

    private Won seek() throws IOException, InterruptedException {
        for (long last = io.clock.now() + PATIENCE_NS; io.clock.now() < last; ) {
            Link link = Link.possible(folder) ? Link.connect(folder) : null;
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
    private Won beside(Link link) throws IOException, InterruptedException {
        System.err.println("another process serves; warming up beside it");
        CountDownLatch warm = new CountDownLatch(1);
        io.run(() -> Standby.warm(io, config, warm::countDown));
        warm.await();
        if (taking.warm() == Taking.Step.ASK) {
            link.send(new Frame.Take());
        }
        Frame frame = link.await();
        if (!(frame instanceof Frame.Give given)) {
            link.close();
            taking.lost();
            return null;
        }
        boolean locked = owner.take();
        for (long last = io.clock.now() + LOCK_NS; !locked && io.clock.now() < last; locked = owner.take()) {
            Thread.sleep(1);
        }
        if (taking.given(locked) != Taking.Step.TAKE) {
            link.close(); // so the older one has its work back
            return null;
        }
        return new Won(owner, link, given);
    }
}
