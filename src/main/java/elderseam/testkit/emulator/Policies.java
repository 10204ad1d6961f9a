package elderseam.testkit.emulator;

import elderseam.policy.ConnectionSettings;
import elderseam.policy.DestinationKind;
import elderseam.policy.Idempotency;
import elderseam.policy.PolicySettings;
import elderseam.policy.PriceSettings;
import elderseam.policy.RequestClass;
import elderseam.policy.WeightPrecision;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The policies that there are, by name; the settings that all of them are given. */
public final class Policies {
    static final long MS = 1_000_000;
    static final long S = 1_000 * MS;
    static final long AGAIN_NS = 500 * MS; // a refusal's time to come back, of a plain policy
    /** The classes of every emulated world: safe to repeat, keyed, once only. */
    public static final List<RequestClass> CLASSES = List.of(
            new RequestClass(Idempotency.SAFE, false, false, 2 * S, 20 * S, 1, 0.4, 0),
            new RequestClass(Idempotency.KEYED, false, false, 2 * S, 16 * S, 2, 0.4, 6 * S),
            new RequestClass(Idempotency.UNSAFE, false, false, 3 * S, 28 * S, 5, 0.4, 0));

    public static final List<String> CLASS_NAMES = List.of("repeatable", "keyed", "once");

    /** Makes a dispatcher's process; the store is what outlasts it. */
    interface Maker {
        EmulatedDispatcher make(EmulatedDispatcher.Place place, EmulatedStore store, long seed);
    }

    private static final Map<String, Maker> ALL = new LinkedHashMap<>();

    static {
        ALL.put("module", (place, store, seed) -> new PolicyDispatcher(place, store, seed, true, false));
        ALL.put(
                "shares",
                (place, store, seed) ->
                        new PolicyDispatcher(place, store, seed, true, true)); // told its part of what all do
        ALL.put(
                "forgets",
                (place, store, seed) -> new PolicyDispatcher(
                        place, store, seed, false, false)); // what it learned, at each end of a process
        ALL.put("robin", (place, store, seed) -> new BaselineDispatcher(place, new BaselinePolicy.RoundRobin()));
        ALL.put("least", (place, store, seed) -> new BaselineDispatcher(place, new BaselinePolicy.LeastInFlight()));
        ALL.put("bucket", (place, store, seed) -> new BaselineDispatcher(place, new BaselinePolicy.TokenBucket()));
        ALL.put("gradient", (place, store, seed) -> new BaselineDispatcher(place, new BaselinePolicy.Gradient()));
        ALL.put("throttle", (place, store, seed) -> new BaselineDispatcher(place, new BaselinePolicy.Throttle(seed)));
        ALL.put(
                "oracle",
                (place, store, seed) ->
                        new BaselineDispatcher(place, new BaselinePolicy.Oracle(place), store.survivingRequests));
    }

    private Policies() {}

    public static List<String> names() {
        return List.copyOf(ALL.keySet());
    }

    static Maker of(String name) {
        Maker m = ALL.get(name);
        if (m == null) {
            throw new IllegalArgumentException("no policy '" + name + "', allowed: " + String.join(", ", ALL.keySet()));
        }
        return m;
    }

    static PolicySettings settings(Scenario p) {
        Scenario.Kind first = p.kinds().get(0);
        boolean told = p.kinds().stream().anyMatch(Scenario.Kind::reportsLimit);
        return new PolicySettings(
                CLASSES,
                p.kinds().stream().map(k -> new DestinationKind(false, 1)).toList(),
                java.util.Collections.nCopies(
                        p.clients().tenants(), p.requestRate() / p.clients().tenants() * 1.3),
                p.fleet().slots(),
                p.fleet().maxHeld(),
                p.fleet().maxAttempts(),
                p.fleet().dispatchers(),
                0,
                true,
                0.5,
                true,
                false,
                false,
                told ? WeightPrecision.ROUGH : WeightPrecision.EXACT,
                3 * S,
                2 * S,
                first.coldShare(),
                first.coldMs() * MS,
                first.collapseMultiple(),
                first.collapseMs() * MS,
                100 * MS,
                new ConnectionSettings(Math.max(first.idleMs(), 0) * MS, 1, 1_500 * MS),
                new PriceSettings(0, 0, List.of()));
    }
}
