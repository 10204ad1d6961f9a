package elderseam.app;

import elderseam.core.ActiveRequest;
import elderseam.core.Clock;
import elderseam.core.FinalOutcome;
import elderseam.core.Journal;
import elderseam.core.RequestAttributes;
import elderseam.core.RequestDispatcher;
import elderseam.core.SettingsMap;
import elderseam.http.IoLoop;
import elderseam.policy.BreakerState;
import elderseam.policy.BreakerView;
import elderseam.policy.PolicySettings;
import elderseam.policy.RequestClass;
import elderseam.rules.IdempotencyKeyScheme;
import elderseam.rules.KnownNames;
import elderseam.rules.RuleEngine;
import elderseam.rules.RuleEnvironment;
import elderseam.rules.RuleLimits;
import elderseam.rules.RuleLoader;
import elderseam.settings.SettingKeys;
import elderseam.settings.Settings;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Wires the operator's rules to relay and journal; where there are none, and no key of earlier ones is remembered, not loaded. */
final class RulesSetup implements LiveConfiguration.Rules, RuleEnvironment {
    private static final long FRESH_NS = 50 * Clock.MS, PRUNE_NS = 60_000 * Clock.MS;

    private final IoLoop io;
    private final RequestDispatcher relay;
    private final Journal journal;
    private final SettingsMap settings;
    private final PolicySettings module;
    private final RuleEngine decider;
    private final Map<Long, BreakerView> breakers = new HashMap<>();
    private long breakersAt = Long.MIN_VALUE / 2;
    private volatile int earlier;
    private volatile IdempotencyKeyScheme current; // read by the signal's thread

    /** Reads, checks and tests the rules, on any thread; null where no files are named. */
    static RuleLoader.Loaded load(SettingsMap settings, Settings operator) throws IOException {
        List<Path> files =
                operator.get(SettingKeys.RULES_FILES).stream().map(Path::of).toList();
        if (files.isEmpty()) {
            return null;
        }
        RuleLoader.Loaded loaded = RuleLoader.load(files, RuleLimits.of(operator), names(settings));
        loaded.warnings().forEach(System.err::println);
        return loaded;
    }

    private static KnownNames names(SettingsMap settings) {
        return KnownNames.of(settings.names("services"), settings.names("orgs"));
    }

    /** {@code loaded}: what {@link #load} gave, or null. */
    RulesSetup(IoLoop io, SettingsMap settings, RuleLoader.Loaded loaded, RequestDispatcher relay, Journal journal)
            throws IOException {
        this.settings = settings;
        this.io = io;
        this.relay = relay;
        this.journal = journal;
        KnownNames names = names(settings);
        this.module = settings.settings();
        this.decider = new RuleEngine(
                module.classes().stream().map(RequestClass::deadlineNs).toList(),
                module.maxRetryAfterNs(),
                module.maxHeld(),
                this,
                words -> System.err.println(words));
        for (Map.Entry<String, byte[]> s : journal.keySchemes().entrySet()) {
            IdempotencyKeyScheme scheme =
                    new IdempotencyKeyScheme(s.getKey(), new String(s.getValue(), StandardCharsets.UTF_8));
            if (loaded == null || !scheme.equals(loaded.book().scheme())) {
                decider.remember(scheme, RuleLoader.scheme(scheme, names));
            }
        }
        if (!put(loaded)) {
            throw new IOException("rules: the journal has no room for what their keys stand on");
        }
        relay.countAttemptsByDestination();
        prune();
    }

    /** Between two requests, whole; what its keys stand on is journalled before any of them counts. */
    private boolean put(RuleLoader.Loaded loaded) {
        IdempotencyKeyScheme scheme = loaded == null ? null : loaded.book().scheme();
        if (scheme != null && !journal.putKeyScheme(scheme.name(), scheme.text().getBytes(StandardCharsets.UTF_8))) {
            return false;
        }
        if (scheme == null) {
            journal.clearCurrentKeyScheme();
        }
        decider.put(loaded == null ? null : loaded.book());
        earlier = decider.remembered();
        current = scheme;
        System.err.println("rules: "
                + (loaded == null
                        ? "none"
                        : loaded.book().rules() + " rules, " + loaded.examples().size() + " examples hold, at most "
                                + loaded.bound() + " units a request")
                + (earlier > 0 ? ", keys of " + earlier + " earlier readings are remembered" : ""));
        return true;
    }

    private void prune() {
        decider.forget(journal.keySchemes().keySet());
        earlier = decider.remembered();
        io.at(io.clock.now() + PRUNE_NS, this::prune);
    }

    @Override
    public Runnable reload(Settings fresh) throws IOException {
        RuleLoader.Loaded loaded = load(settings, fresh);
        IdempotencyKeyScheme next = loaded == null ? null : loaded.book().scheme();
        if (earlier >= RuleEngine.MOST_REMEMBERED && current != null && !current.equals(next)) {
            throw new IOException("rules: keys of " + earlier + " earlier readings are still remembered, allowed: "
                    + RuleEngine.MOST_REMEMBERED + "; new ones within rules.remember_s of the oldest");
        }
        return () -> {
            System.err.println("rules: " + decider.counts());
            if (!put(loaded)) {
                System.err.println(
                        "rules: not taken, the journal has no room for what their keys stand on; the old ones stay");
            }
        };
    }

    @Override
    public Ruling rule(ActiveRequest.Message m, RequestAttributes facts) {
        long now = io.clock.now();
        if (m.destination() == RequestDispatcher.NO_DESTINATION) { // the warm path's
            return new Admitted(m, List.of());
        }
        RuleEngine.Decided d = decider.decide(m, facts, now, io.clock.toWall(now));
        if (!d.fault().isEmpty()) {
            return new Invalid(m, d.fault());
        }
        boolean known = relay.isKnown(m.id())
                || (!d.message().deduplicationKey().isEmpty() || !d.also().isEmpty())
                        && relay.isKnown(d.message().deduplicationKey(), d.also());
        long wait = known ? 0 : decider.admit(now);
        return wait > 0 ? new Rejected(FinalOutcome.rejected(wait)) : new Admitted(d.message(), d.also());
    }

    // ---------------------------------------------------------------- how the dispatcher stands

    private BreakerView look(long destination) {
        long now = io.clock.now();
        if (now - breakersAt > FRESH_NS) {
            breakersAt = now;
            breakers.clear();
            relay.forEachBreaker(breakers::put);
        }
        return breakers.get(destination);
    }

    @Override
    public Breaker breaker(long destination) {
        BreakerView b = look(destination);
        return b == null || b.state() == BreakerState.CLOSED
                ? Breaker.CLOSED
                : b.state() == BreakerState.OPEN ? Breaker.OPEN : Breaker.HALF_OPEN;
    }

    @Override
    public long waitNs(long destination) {
        BreakerView b = look(destination);
        return b == null ? 0 : Math.max(0, b.waitNs());
    }

    @Override
    public int inFlight(long destination) {
        return relay.attemptsInFlight(destination);
    }

    @Override
    public int held() {
        return relay.requestsInFlight();
    }

    @Override
    public double share(int tenant) {
        return tenant < 0 || tenant >= module.tenantRates().size()
                ? 0
                : module.tenantRates().get(tenant) / Math.max(1, module.senderCount());
    }
}
