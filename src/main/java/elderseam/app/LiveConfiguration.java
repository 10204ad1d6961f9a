package elderseam.app;

import elderseam.core.AdmissionRules;
import elderseam.core.Journal;
import elderseam.core.RequestDispatcher;
import elderseam.fleet.config.VersionContent;
import elderseam.frontend.platform.DiscoveryWatcher;
import elderseam.frontend.platform.PlatformConfiguration;
import elderseam.frontend.platform.PlatformFrontend;
import elderseam.http.EndpointAddress;
import elderseam.http.IoLoop;
import elderseam.rules.RuleLoader;
import elderseam.settings.SettingKeys;
import elderseam.settings.Settings;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * What can change while a dispatcher runs, by SIGHUP or by a version that the fleet agrees on: discovery's place, the rules, gossip's
 * roster. It is read whole before any of it counts, on whatever thread; what it gives is run on the I/O thread.
 */
final class LiveConfiguration {
    /** The operator's rules: none of their classes is loaded while they are off. */
    interface Rules extends AdmissionRules {
        Runnable reload(Settings fresh) throws IOException;
    }

    /** What the rules act on. */
    record Ties(IoLoop io, RequestDispatcher relay, Journal journal) {}

    private final Ties ties;
    private final PlatformConfiguration config;
    private final Settings settings;
    private final Path file;
    private PlatformConfiguration moved; // as SIGHUP read it last
    private volatile Rules rules; // null while there are none
    private PlatformFrontend front;
    private CloudEventsSetup second; // null while it is off
    private DiscoveryWatcher discovery;
    private FleetServices neighbours; // null while they are made

    /** {@code settings}: those of the start, from {@code file}. */
    LiveConfiguration(Ties ties, PlatformConfiguration config, Settings settings, Path file) throws IOException {
        this.ties = ties;
        this.config = config;
        this.settings = settings;
        this.file = file;
        this.moved = config;
        boolean ruled = !settings.get(SettingKeys.RULES_FILES).isEmpty()
                || !ties.journal.keySchemes().isEmpty();
        rules = ruled ? rules(RulesSetup.load(config.settings(), settings)) : null;
    }

    private Rules rules(RuleLoader.Loaded loaded) throws IOException {
        return new RulesSetup(ties.io, config.settings(), loaded, ties.relay, ties.journal);
    }

    /** The rules of the start, or null. */
    AdmissionRules rules() {
        return rules;
    }

    /** Whom it changes; {@code second} may be null. Before the neighbours are made: they may begin with a version. */
    void of(PlatformFrontend front, CloudEventsSetup second, DiscoveryWatcher discovery) {
        this.front = front;
        this.second = second;
        this.discovery = discovery;
    }

    void of(FleetServices neighbours) {
        this.neighbours = neighbours;
        guard();
    }

    /** Where discovery is by these settings, or by the platform's word. */
    EndpointAddress discovery(Settings told) {
        String agreed = told.get(SettingKeys.DISCOVERY_ADDRESS);
        return new EndpointAddress("discovery", agreed.isEmpty() ? moved.discovery() : agreed);
    }

    /** By SIGHUP; a version that the fleet agrees on outranks the own files. */
    Runnable hangUp(Map<String, String> variables) throws IOException {
        PlatformConfiguration fresh = PlatformConfiguration.read(variables);
        VersionService versions = neighbours.versions();
        boolean agreed = versions != null && versions.acting().number() > 0;
        Settings told = OperatorSettings.settings(file), counts = agreed ? merged(versions.texts()) : told;
        Runnable rest = neighbours.reload(told), ruling = agreed ? () -> {} : ruling(told);
        List<String> later = settings.changed(told, SettingKeys.ALL, false);
        return () -> {
            moved = fresh;
            move(counts);
            rest.run();
            ruling.run();
            System.err.println("configuration read again, discovery at "
                    + discovery(counts).address()
                    + (later.isEmpty() ? "" : "; waits for the next start: " + String.join(", ", later)));
        };
    }

    /** By a version, whose texts lie there as files, or by the own settings (null). */
    Runnable version(Path texts) throws IOException {
        Settings told = texts == null ? OperatorSettings.settings(file) : merged(texts);
        Runnable ruling = ruling(told);
        return () -> {
            move(told);
            ruling.run();
        };
    }

    private Settings merged(Path texts) throws IOException {
        return Settings.read(VersionContent.mergeSettings(file, texts), SettingKeys.ALL, SettingKeys.CONTRADICTIONS);
    }

    private void move(Settings told) {
        discovery.move(discovery(told));
        front.move(discovery(told));
    }

    /** Before the rules, where there are versions: whether they may be acted on. */
    private void guard() {
        VersionService versions = neighbours == null ? null : neighbours.versions();
        if (versions != null) {
            rulings(versions.guard(rules, ties.relay::isKnown));
        }
    }

    private void rulings(AdmissionRules by) {
        front.rulings(by);
        if (second != null) {
            second.rulings(by);
        }
    }

    /** What applies the rules, which may be the first. */
    private Runnable ruling(Settings told) throws IOException {
        if (rules != null) {
            return rules.reload(told);
        }
        if (told.get(SettingKeys.RULES_FILES).isEmpty()) {
            return () -> {};
        }
        var loaded = RulesSetup.load(config.settings(), told);
        return () -> {
            try {
                rules = rules(loaded);
                rulings(rules);
                guard();
            } catch (IOException e) {
                System.err.println("rules: not taken: " + e.getMessage());
            }
        };
    }
}
