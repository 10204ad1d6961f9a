package elderseam.app;

import static elderseam.logging.LogField.field;

import elderseam.core.Clock;
import elderseam.frontend.platform.PlatformConfiguration;
import elderseam.handover.HandoverFrame;
import elderseam.handover.HandoverSender;
import elderseam.http.IoLoop;
import elderseam.logging.EventLogger;
import elderseam.settings.SettingKeys;
import elderseam.settings.Settings;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * When the configuration is read again, so that whichever process owns the work acts on the newest configuration that
 * any process of the dispatcher was told of.
 *
 * <p>A process reads it on SIGHUP. During an upgrade the signal still goes to the older process, at a moment when that
 * one may have passed its work on, or have ended. So the newer one looks whether the files have changed since it read
 * them: when it takes over, and from then on until the older one has ended and no signal can go there any more. The
 * older one applies what it was told meanwhile only if it gets its work back.
 *
 * <p>Confined to the I/O thread but for {@link #request}. A configuration that can't be used changes nothing.
 */
final class ConfigurationReloads {
    private static final EventLogger LOG = EventLogger.of(ConfigurationReloads.class);

    private static final int MAX_LOGGED_FAULTS = 20;
    private static final long WATCH_INTERVAL_NS = 100 * Clock.MILLISECOND_NS;

    /** The platform ends the older process within 3.7 s of this one's readiness, and signals this one from then on. */
    private static final long WATCH_AFTER_READY_NS = 4_000 * Clock.MILLISECOND_NS;

    /** The configuration as it can be reloaded. */
    interface Source {
        /** Reads all there is to read, on any thread; the result applies it, on the I/O thread. */
        Runnable read() throws IOException;

        /** What is acted on now. */
        HandoverFrame.ConfigurationReading current();

        /** Acts on what an older process has read, as far as that is known here. */
        void adopt(HandoverFrame.ConfigurationReading reading);

        /** This process has its work back, and has joined its fleet anew. */
        void resumed();
    }

    private final IoLoop io;
    private final Source source;
    private final Supplier<HandoverSender.State> transferState;
    private final FileStamps polledFiles;
    private volatile FileStamps filesWhenRead;
    private FileStamps filesWhenSeen; // by the last look
    private Runnable deferred; // read while the work was passed on; null if there is none
    private boolean predecessorGone;
    private long watchEndNs = Long.MAX_VALUE;

    /**
     * Begins with a configuration that was just read.
     *
     * @param transferState how far the work of this process has been passed on
     * @param polledFiles the files that are polled where signals do not arrive, as {@link #stamps} took them before
     * @param settings the operator's, of that configuration
     */
    ConfigurationReloads(
            IoLoop io,
            Source source,
            Supplier<HandoverSender.State> transferState,
            FileStamps polledFiles,
            Settings settings) {
        this.io = io;
        this.source = source;
        this.transferState = transferState;
        this.polledFiles = polledFiles;
        this.filesWhenRead = polledFiles.with(filesNamedBy(settings));
        this.filesWhenSeen = filesWhenRead;
    }

    /** The stamps of the platform's configuration file and the operator's settings; taken before these are read. */
    static FileStamps stamps(Map<String, String> variables, Path settingsFile) {
        String configuration = variables.get(PlatformConfiguration.FILE_VARIABLE);
        return new FileStamps(
                configuration == null ? List.of(settingsFile) : List.of(Path.of(configuration), settingsFile));
    }

    private static List<Path> filesNamedBy(Settings settings) {
        List<Path> files = new ArrayList<>();
        settings.get(SettingKeys.RULES_FILES).forEach(file -> files.add(Path.of(file)));
        if (!settings.get(SettingKeys.GOSSIP_ROSTER).isEmpty()) {
            files.add(Path.of(settings.get(SettingKeys.GOSSIP_ROSTER)));
        }
        return files;
    }

    /** Reads the configuration on each signal from now on. */
    void install() {
        ReloadTrigger.install(this::request, polledFiles);
    }

    /** Reads the configuration on the calling thread, and has it applied on the I/O thread. */
    void request() {
        filesWhenRead = filesWhenRead.again();
        read(apply -> io.run(() -> apply(apply)));
    }

    private void apply(Runnable apply) {
        switch (transferState.get()) {
            case OWNER -> apply.run();
            case TRANSFERRING -> {
                deferred = apply;
                LOG.info("reload.deferred");
            }
            case TRANSFERRED -> LOG.info("reload.left_to_successor"); // which looks at the files itself
        }
    }

    /** One at a time: each signal has a thread of its own. Returns whether the configuration can be used. */
    private synchronized boolean read(Consumer<Runnable> applier) {
        try {
            applier.accept(source.read());
            return true;
        } catch (IOException | RuntimeException e) { // whatever is wrong with the new one, the old one stays
            String.valueOf(e.getMessage())
                    .lines()
                    .limit(MAX_LOGGED_FAULTS)
                    .forEach(fault -> LOG.warn("reload.rejected", field("fault", fault)));
            return false;
        }
    }

    /** What is acted on, for the process that takes over. */
    HandoverFrame.ConfigurationReading current() {
        return source.current();
    }

    /** This process has its work back: acts on what it was told meanwhile. */
    void resumed() {
        source.resumed();
        Runnable apply = deferred;
        deferred = null;
        if (apply != null) {
            apply.run();
        }
    }

    /** Reads the files at once if they have changed since they were read. Returns false if they can't be used. */
    boolean catchUp() {
        FileStamps current = filesWhenRead.again();
        if (current.isUnchangedSince(filesWhenRead)) {
            return true;
        }
        filesWhenRead = current;
        filesWhenSeen = current;
        return read(Runnable::run);
    }

    /**
     * Catches up with the older process, whose work this one takes over: where the files can't be used now, with what
     * the older one read, if it did so later than this one.
     */
    void catchUpWith(HandoverFrame.ConfigurationReading predecessor) {
        boolean usable = catchUp();
        boolean isNewer = predecessor.ageNs() < source.current().ageNs();
        if (!usable && predecessor.isKnown() && isNewer) {
            LOG.info("reload.predecessor_adopted", field("discovery", predecessor.discoveryAddress()));
            source.adopt(predecessor);
        }
        io.at(io.clock.now() + WATCH_INTERVAL_NS, this::watch);
    }

    /** This process is ready: the platform signals it, once it has learned so. */
    void ready() {
        watchEndNs = io.clock.now() + WATCH_AFTER_READY_NS;
    }

    /** The older process has ended. */
    void predecessorGone() {
        predecessorGone = true;
    }

    /** A change is read once the files have rested for an interval, since they may be written in parts. */
    private void watch() {
        FileStamps current = filesWhenRead.again();
        boolean changed = !current.isUnchangedSince(filesWhenRead);
        if (changed && current.isUnchangedSince(filesWhenSeen)) {
            Thread reader = new Thread(this::request, "reload");
            reader.setDaemon(true);
            reader.start();
        }
        filesWhenSeen = current;
        boolean over = predecessorGone && io.clock.now() > watchEndNs && !changed;
        if (!over) {
            io.at(io.clock.now() + WATCH_INTERVAL_NS, this::watch);
        }
    }
}
