package elderseam.app;

import static elderseam.logging.LogField.error;
import static elderseam.logging.LogField.field;

import elderseam.core.AdmissionRules;
import elderseam.core.Journal;
import elderseam.core.RequestDispatcher;
import elderseam.fleet.config.VersionContent;
import elderseam.frontend.platform.DiscoveryWatcher;
import elderseam.frontend.platform.PlatformConfiguration;
import elderseam.frontend.platform.PlatformFrontend;
import elderseam.handover.HandoverFrame;
import elderseam.http.EndpointAddress;
import elderseam.http.IoLoop;
import elderseam.logging.EventLogger;
import elderseam.rules.RuleLoader;
import elderseam.settings.SettingKeys;
import elderseam.settings.Settings;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The part of the configuration that changes while a dispatcher runs, by SIGHUP or by a version that the fleet agreed
 * on: the address of discovery, the rules, the gossip roster. It is read and checked completely on whatever thread
 * asks; what a reading returns makes it effective, on the I/O thread, to which everything else here is confined.
 */
final class LiveConfiguration implements VersionReader, ConfigurationReloads.Source {
    private static final EventLogger LOG = EventLogger.of(LiveConfiguration.class);

    private static final String DISCOVERY_ID = "discovery";

    /** The operator's rules; none of their classes is loaded while there are none. */
    interface ReloadableRules extends AdmissionRules {
        /** Reads the rules that fresh settings name; the result applies them, on the I/O thread. */
        Runnable reload(Settings fresh) throws IOException;
    }

    /** What the rules act on. */
    record RuleTargets(IoLoop io, RequestDispatcher dispatcher, Journal journal) {}

    private final RuleTargets ruleTargets;
    private final PlatformConfiguration config;
    private final Settings startSettings;
    private final Path settingsFile;
    private final Map<String, String> variables;
    private PlatformConfiguration latestConfig; // as the last reload read it
    private long readNs; // when that reading began, or the one of the start
    private volatile ReloadableRules rules; // null while there are none
    private PlatformFrontend frontend;
    private CloudEventsSetup cloudEvents; // null while it is off
    private DiscoveryWatcher discovery;
    private FleetServices fleet; // null until it has joined

    /**
     * Reads the rules of the start.
     *
     * @param startSettings the operator's settings at the start, from {@code settingsFile}
     * @param variables the RELAY variables of the environment
     * @param readNs when the reading of configuration and settings began, on the loop's clock
     * @throws IOException if the rules can't be used
     */
    LiveConfiguration(
            RuleTargets ruleTargets,
            PlatformConfiguration config,
            Settings startSettings,
            Path settingsFile,
            Map<String, String> variables,
            long readNs)
            throws IOException {
        this.ruleTargets = ruleTargets;
        this.config = config;
        this.startSettings = startSettings;
        this.settingsFile = settingsFile;
        this.variables = variables;
        this.readNs = readNs;
        this.latestConfig = config;
        boolean hasRules = !startSettings.get(SettingKeys.RULES_FILES).isEmpty()
                || !ruleTargets.journal().keySchemes().isEmpty();
        rules = hasRules ? createRules(RulesSetup.load(config.settings(), startSettings)) : null;
    }

    private ReloadableRules createRules(Optional<RuleLoader.Loaded> loaded) throws IOException {
        return new RulesSetup(
                ruleTargets.io(), config.settings(), loaded, ruleTargets.dispatcher(), ruleTargets.journal());
    }

    /** The rules of the start, or null. */
    AdmissionRules rules() {
        return rules;
    }

    /**
     * What changes are applied to; {@code cloudEvents} may be null. Before the fleet is joined, which may begin with a
     * version.
     */
    void attach(PlatformFrontend frontend, CloudEventsSetup cloudEvents, DiscoveryWatcher discovery) {
        this.frontend = frontend;
        this.cloudEvents = cloudEvents;
        this.discovery = discovery;
    }

    /** The fleet whose versions count, once it has joined. */
    void attach(FleetServices fleet) {
        this.fleet = fleet;
        guardRules();
    }

    /** Where discovery is by these settings, or else by the platform's configuration. */
    EndpointAddress discoveryAddress(Settings settings) {
        String configured = settings.get(SettingKeys.DISCOVERY_ADDRESS);
        return new EndpointAddress(DISCOVERY_ID, configured.isEmpty() ? latestConfig.discoveryAddress() : configured);
    }

    /**
     * Reads the configuration again, on SIGHUP. A version that the fleet agreed on outranks this member's own files.
     */
    @Override
    public Runnable read() throws IOException {
        long beganNs = ruleTargets.io().clock.now();
        PlatformConfiguration freshConfig = PlatformConfiguration.read(variables);
        Optional<VersionService> versions = fleet.versions();
        boolean versionActive = versions.isPresent() && versions.get().active().number() > 0;
        Settings own = OperatorSettings.settings(settingsFile);
        Settings effective = versionActive ? merged(versions.get().activeTexts()) : own;
        Runnable applyFleet = fleet.reload(own);
        Runnable applyRules = versionActive ? () -> {} : readRules(own);
        List<String> needRestart = startSettings.changedStartKeys(own);
        return () -> {
            latestConfig = freshConfig;
            readNs = beganNs;
            moveDiscovery(effective);
            applyFleet.run();
            applyRules.run();
            LOG.info(
                    "reload.applied",
                    field("needs_restart", needRestart.isEmpty() ? "none" : String.join(",", needRestart)),
                    field("discovery", discoveryAddress(effective).address()));
        };
    }

    @Override
    public HandoverFrame.ConfigurationReading current() {
        return new HandoverFrame.ConfigurationReading(
                discovery.address().address(), ruleTargets.io().clock.now() - readNs);
    }

    @Override
    public void adopt(HandoverFrame.ConfigurationReading reading) {
        readNs = ruleTargets.io().clock.now() - reading.ageNs();
        moveDiscovery(new EndpointAddress(DISCOVERY_ID, reading.discoveryAddress()));
    }

    @Override
    public void resumed() {
        guardRules();
    }

    @Override
    public Runnable readVersion(Path directory) throws IOException {
        return read(merged(directory));
    }

    @Override
    public Runnable readOwnSettings() throws IOException {
        return read(OperatorSettings.settings(settingsFile));
    }

    private Runnable read(Settings settings) throws IOException {
        Runnable applyRules = readRules(settings);
        return () -> {
            moveDiscovery(settings);
            applyRules.run();
        };
    }

    private Settings merged(Path versionDirectory) throws IOException {
        Path merged = VersionContent.mergeSettings(settingsFile, versionDirectory);
        return Settings.read(merged);
    }

    private void moveDiscovery(Settings settings) {
        moveDiscovery(discoveryAddress(settings));
    }

    private void moveDiscovery(EndpointAddress address) {
        discovery.changeAddress(address);
        frontend.changePlatformAddress(address);
    }

    /** Where there are versions, puts their check before the rules: whether this member may act on them. */
    private void guardRules() {
        Optional<VersionService> versions = fleet == null ? Optional.empty() : fleet.versions();
        if (versions.isPresent()) {
            useRules(versions.get().guard(rules, ruleTargets.dispatcher()::isKnown));
        }
    }

    private void useRules(AdmissionRules effective) {
        frontend.setRules(effective);
        if (cloudEvents != null) {
            cloudEvents.rulings(effective);
        }
    }

    /** Reads the rules, which may be the first; the result applies them. */
    private Runnable readRules(Settings settings) throws IOException {
        if (rules != null) {
            return rules.reload(settings);
        }
        if (settings.get(SettingKeys.RULES_FILES).isEmpty()) {
            return () -> {};
        }
        Optional<RuleLoader.Loaded> loaded = RulesSetup.load(config.settings(), settings);
        return () -> applyFirstRules(loaded);
    }

    private void applyFirstRules(Optional<RuleLoader.Loaded> loaded) {
        try {
            rules = createRules(loaded);
            useRules(rules);
            guardRules();
        } catch (IOException e) {
            LOG.warn("rules.rejected", error(e));
        }
    }
}
