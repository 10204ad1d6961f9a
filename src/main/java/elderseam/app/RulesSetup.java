package elderseam.app;

import static elderseam.logging.LogField.field;

import elderseam.core.ActiveRequest;
import elderseam.core.Clock;
import elderseam.core.FinalOutcome;
import elderseam.core.Journal;
import elderseam.core.RequestAttributes;
import elderseam.core.RequestDispatcher;
import elderseam.core.SettingsMap;
import elderseam.http.IoLoop;
import elderseam.logging.EventLogger;
import elderseam.logging.LogField;
import elderseam.policy.PolicySettings;
import elderseam.policy.RequestClass;
import elderseam.rules.IdempotencyKeyScheme;
import elderseam.rules.KnownNames;
import elderseam.rules.RuleEngine;
import elderseam.rules.RuleLimits;
import elderseam.rules.RuleLoader;
import elderseam.settings.SettingKeys;
import elderseam.settings.Settings;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The operator's rules in a running dispatcher: applies them to requests, and journals what their idempotency keys
 * depend on. Confined to the I/O thread but for {@link #load} and {@link #reload}. Not loaded where there are no rules,
 * and no keys of earlier ones.
 */
final class RulesSetup implements LiveConfiguration.ReloadableRules {
    private static final EventLogger LOG = EventLogger.of(RulesSetup.class);

    private static final long FORGET_INTERVAL_NS = 60_000 * Clock.MILLISECOND_NS;

    private final IoLoop io;
    private final RequestDispatcher dispatcher;
    private final Journal journal;
    private final SettingsMap settings;
    private final RuleEngine engine;
    private volatile int rememberedSchemes; // of earlier rules
    private volatile Optional<IdempotencyKeyScheme> currentScheme = Optional.empty();

    /**
     * Reads, checks and tests the rules that the operator's settings name, on any thread; empty where they name none.
     *
     * @throws IOException if they can't be used
     */
    static Optional<RuleLoader.Loaded> load(SettingsMap settings, Settings operator) throws IOException {
        List<Path> files =
                operator.get(SettingKeys.RULES_FILES).stream().map(Path::of).toList();
        if (files.isEmpty()) {
            return Optional.empty();
        }
        RuleLoader.Loaded loaded = RuleLoader.load(files, RuleLimits.of(operator), names(settings));
        loaded.warnings().forEach(warning -> LOG.warn("rules.suspicious", field("warning", warning)));
        return Optional.of(loaded);
    }

    private static KnownNames names(SettingsMap settings) {
        return KnownNames.of(settings.names("services"), settings.names("orgs"));
    }

    /**
     * Applies these rules from now on.
     *
     * @param loaded what {@link #load} returned; empty where only keys of earlier rules are remembered
     * @throws IOException if the journal has no room for what their keys depend on
     */
    RulesSetup(
            IoLoop io,
            SettingsMap settings,
            Optional<RuleLoader.Loaded> loaded,
            RequestDispatcher dispatcher,
            Journal journal)
            throws IOException {
        this.settings = settings;
        this.io = io;
        this.dispatcher = dispatcher;
        this.journal = journal;
        PolicySettings policySettings = settings.toPolicySettings();
        this.engine = new RuleEngine(
                policySettings.classes().stream().map(RequestClass::deadlineNs).toList(),
                policySettings.maxRetryAfterNs(),
                policySettings.maxHeld(),
                new DispatcherRuleEnvironment(io.clock, dispatcher, policySettings),
                (rule, error, errorCount) -> LOG.warn(
                        "rules.evaluation_failed",
                        field("rule", rule),
                        field("error", error),
                        field("errors", errorCount)));
        rememberEarlierSchemes(schemeOf(loaded));
        if (!apply(loaded)) {
            throw new IOException("rules: the journal has no room for what their keys stand on");
        }
        dispatcher.countAttemptsByDestination();
        io.repeat(FORGET_INTERVAL_NS, this::forgetOldSchemes);
        forgetOldSchemes();
    }

    /** Requests that were accepted under earlier rules are still known by the keys of those. */
    private void rememberEarlierSchemes(Optional<IdempotencyKeyScheme> current) throws IOException {
        for (Map.Entry<String, byte[]> entry : journal.keySchemes().entrySet()) {
            IdempotencyKeyScheme scheme =
                    new IdempotencyKeyScheme(entry.getKey(), new String(entry.getValue(), StandardCharsets.UTF_8));
            if (!current.equals(Optional.of(scheme))) {
                engine.rememberScheme(scheme, RuleLoader.readScheme(scheme, names(settings)));
            }
        }
    }

    /**
     * Between two requests: journals what the rules' keys depend on, then applies them; false, and the rules of before
     * stay, where the journal has no room.
     */
    private boolean apply(Optional<RuleLoader.Loaded> loaded) {
        Optional<IdempotencyKeyScheme> scheme = schemeOf(loaded);
        if (scheme.isEmpty()) {
            journal.clearCurrentKeyScheme();
        } else if (!journalScheme(scheme.get())) {
            return false;
        }
        engine.activate(loaded.map(RuleLoader.Loaded::rulebook));
        rememberedSchemes = engine.earlierSchemeCount();
        currentScheme = scheme;
        logApplied(loaded);
        return true;
    }

    private boolean journalScheme(IdempotencyKeyScheme scheme) {
        return journal.putKeyScheme(scheme.name(), scheme.text().getBytes(StandardCharsets.UTF_8));
    }

    private static Optional<IdempotencyKeyScheme> schemeOf(Optional<RuleLoader.Loaded> loaded) {
        return loaded.flatMap(rules -> rules.rulebook().keyScheme());
    }

    private void logApplied(Optional<RuleLoader.Loaded> loaded) {
        LogField remembered = field("earlier_key_schemes", rememberedSchemes);
        if (loaded.isEmpty()) {
            LOG.info("rules.absent", remembered);
            return;
        }
        LOG.info(
                "rules.applied",
                remembered,
                field("rules", loaded.get().rulebook().ruleCount()),
                field("examples", loaded.get().examples().size()),
                field("max_cost", loaded.get().maxCost()));
    }

    private long forgetOldSchemes() {
        engine.retainSchemes(journal.keySchemes().keySet());
        rememberedSchemes = engine.earlierSchemeCount();
        return io.clock.now() + FORGET_INTERVAL_NS;
    }

    @Override
    public Runnable reload(Settings fresh) throws IOException {
        Optional<RuleLoader.Loaded> loaded = load(settings, fresh);
        boolean changesKeys = currentScheme.isPresent() && !currentScheme.equals(schemeOf(loaded));
        if (changesKeys && rememberedSchemes >= RuleEngine.MAX_EARLIER_SCHEMES) {
            throw new IOException(
                    "rules: keys of " + rememberedSchemes + " earlier readings are still remembered, allowed: "
                            + RuleEngine.MAX_EARLIER_SCHEMES + "; new ones within rules.remember_s of the oldest");
        }
        return () -> {
            LOG.info("rules.counts", field("counts", engine.statistics()));
            if (!apply(loaded)) {
                LOG.warn("rules.rejected", field("error", "the journal has no room for what their keys depend on"));
            }
        };
    }

    @Override
    public Decision evaluate(ActiveRequest.Message message, RequestAttributes attributes) {
        if (message.destination() == RequestDispatcher.NO_DESTINATION) { // sent by StartupWarmup
            return new Admitted(message, List.of());
        }
        long nowNs = io.clock.now();
        RuleEngine.Decision decision = engine.decide(message, attributes, nowNs, io.clock.wallMs());
        if (decision instanceof RuleEngine.Incomplete incomplete) {
            return new Invalid(message, incomplete.reason());
        }
        RuleEngine.Routed routed = (RuleEngine.Routed) decision;
        long retryAfterNs = isKnown(message, routed) ? 0 : engine.admit(nowNs);
        if (retryAfterNs > 0) {
            return new Rejected(FinalOutcome.rejected(retryAfterNs));
        }
        return new Admitted(routed.message(), routed.alternateKeys());
    }

    /** Whether the request was accepted before, by its id or by a key: no limit applies to it again. */
    private boolean isKnown(ActiveRequest.Message message, RuleEngine.Routed routed) {
        if (dispatcher.isKnown(message.id())) {
            return true;
        }
        String key = routed.message().deduplicationKey();
        boolean hasKey = !key.isEmpty() || !routed.alternateKeys().isEmpty();
        return hasKey && dispatcher.isKnown(key, routed.alternateKeys());
    }
}
