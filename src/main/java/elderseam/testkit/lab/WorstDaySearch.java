package elderseam.testkit.lab;

import elderseam.settings.SettingsFault;
import elderseam.testkit.emulator.Scenario;
import elderseam.testkit.emulator.ScenarioFile;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Searches for the day on which a policy does worst against one that knows all: troubles, floods, restarts and arrivals are added,
 * changed and taken away at random, and what widens the gap is kept (a hill climb, begun anew three times); the worst is then
 * shrunk: what can be left out, or made shorter, while nine tenths of the gap stay, is. One seed gives one day.
 */
public final class WorstDaySearch {
    /** The day as a scenario, its gap in service, and how many days were played. */
    public record Found(List<String> scenario, double gap, double policy, double against, int played) {}

    /** A section by {@code kind name}, with its values. */
    private record Part(String kind, String name, Map<String, String> values) {
        Part copy() {
            return new Part(kind, name, new LinkedHashMap<>(values));
        }
    }

    private static final int STARTS = 3;
    private static final int MOST_PARTS = 6;
    private static final double KEPT = 0.9;

    private final List<String> base;
    private final Scenario plan;
    private final String policy;
    private final String against;
    private final long seed;
    private final UniformRandomProvider random;
    private final Consumer<String> progress;
    private int played;

    /** {@code base}: a scenario of fleet, kinds and clients, to which the days are added. */
    public WorstDaySearch(
            String file, List<String> base, String policy, String against, long seed, Consumer<String> progress)
            throws SettingsFault {
        this.base = base;
        this.plan = ScenarioFile.of(file, base, Map.of());
        this.policy = policy;
        this.against = against;
        this.seed = seed;
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        this.progress = progress;
    }

    /** Plays so many days at the most, twice each. */
    public Found search(int days) throws SettingsFault {
        List<Part> worst = List.of();
        double gap = gap(worst);
        for (int start = 0; start < STARTS; start++) {
            List<Part> at = List.of();
            double here = gap(at);
            while (played < days * 2 / 3 * (start + 1) / STARTS) {
                List<Part> next = changed(at);
                double g = gap(next);
                if (g > here) {
                    at = next;
                    here = g;
                    progress.accept(
                            String.format(Locale.ROOT, "day %d: gap %.4f with %d parts", played, here, at.size()));
                }
            }
            if (here > gap) {
                worst = at;
                gap = here;
            }
        }
        List<Part> small = shrunk(worst, gap, days);
        double g = gap(small);
        return new Found(text(small), g, service(small, policy), service(small, against), played);
    }

    private List<Part> shrunk(List<Part> worst, double gap, int days) throws SettingsFault {
        List<Part> at = new ArrayList<>(worst);
        for (int i = at.size() - 1; i >= 0 && played < days; i--) {
            List<Part> without = new ArrayList<>(at);
            without.remove(i);
            if (gap(without) >= KEPT * gap) {
                at = without;
            }
        }
        for (int i = 0; i < at.size(); i++) {
            for (String key : List.of("for", "factor", "part")) {
                while (at.get(i).values.containsKey(key) && played < days) {
                    List<Part> less = new ArrayList<>(at);
                    Part p = at.get(i).copy();
                    double half = Double.parseDouble(p.values.get(key)) / 2;
                    p.values.put(key, value(key.equals("factor") ? Math.max(1, half) : half));
                    less.set(i, p);
                    if (half < 0.02 || (key.equals("factor") && half < 1) || gap(less) < KEPT * gap) {
                        break;
                    }
                    at = less;
                }
            }
        }
        return at;
    }

    private static String value(double v) {
        return String.format(Locale.ROOT, "%.2f", v);
    }

    private List<Part> changed(List<Part> from) {
        List<Part> to = new ArrayList<>(from.stream().map(Part::copy).toList());
        int what = random.nextInt(4);
        if (to.isEmpty() || (what == 0 && to.size() < MOST_PARTS)) {
            to.add(any());
        } else if (what == 1 && to.size() > 1) {
            to.remove(random.nextInt(to.size()));
        } else {
            Part p = to.get(random.nextInt(to.size()));
            Part q = any(p.kind, p.name);
            List<String> keys = List.copyOf(p.values.keySet());
            String key = keys.get(random.nextInt(keys.size()));
            p.values.put(key, q.values.get(key));
        }
        return to;
    }

    private Part any() {
        String[] kinds = {"trouble", "trouble", "trouble", "flood", "restart"};
        return any(kinds[random.nextInt(kinds.length)], "f" + Long.toString(random.nextLong() >>> 1, 36));
    }

    private Part any(String kind, String name) {
        Map<String, String> v = new LinkedHashMap<>();
        double at = random.nextDouble() * plan.seconds() * 0.8;
        v.put("at", value(at));
        switch (kind) {
            case "trouble" -> {
                v.put("for", value(1 + random.nextDouble() * plan.seconds() / 3));
                v.put(
                        "kind",
                        plan.kinds().get(random.nextInt(plan.kinds().size())).name());
                v.put("part", value(0.1 + 0.9 * random.nextDouble()));
                v.put("fault", Scenario.Fault.values()[random.nextInt(Scenario.Fault.values().length)].wireName());
                v.put("factor", value(2 + 30 * random.nextDouble()));
            }
            case "flood" -> {
                v.put("for", value(1 + random.nextDouble() * plan.seconds() / 3));
                v.put(
                        "tenant",
                        Integer.toString(1 + random.nextInt(plan.clients().tenants())));
                v.put("factor", value(1 + 9 * random.nextDouble()));
            }
            default -> {
                v.put("within", value(random.nextDouble() * 10));
                v.put("part", value(0.1 + 0.9 * random.nextDouble()));
                v.put("how", random.nextBoolean() ? "kill" : "term");
            }
        }
        return new Part(kind, name, v);
    }

    private List<String> text(List<Part> parts) {
        List<String> all = new ArrayList<>(base);
        for (Part p : parts) {
            all.add("[" + p.kind + " " + p.name + "]");
            p.values.forEach((k, v) -> all.add(k + " = " + v));
        }
        return all;
    }

    private double service(List<Part> parts, String of) throws SettingsFault {
        return ExperimentRun.of(ScenarioFile.of("found", text(parts), Map.of()), of, seed, s -> {})
                .figures()
                .get("service");
    }

    private double gap(List<Part> parts) throws SettingsFault {
        played++;
        return service(parts, against) - service(parts, policy);
    }
}
