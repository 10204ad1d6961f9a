package elderseam.testkit.lab;

import elderseam.testkit.emulator.Scenario;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Makes random changes to the troubles, floods and restarts of a scenario. The order in which random numbers are drawn decides what a
 * seed gives, so it must not change.
 */
final class ScenarioMutator {
    private static final int MAX_PARTS = 6;

    /** Troubles three times as often as each of the others. */
    private static final List<String> PART_KINDS = List.of("trouble", "trouble", "trouble", "flood", "restart");

    private static final int NAME_RADIX = 36;

    /** Ways to change a list of parts; each number above the two named ones replaces a value. */
    private static final int CHANGES = 4;

    private static final int ADD_PART = 0;
    private static final int REMOVE_PART = 1;

    private final Scenario base;
    private final UniformRandomProvider random;

    /** Creates a mutator for parts that are added to {@code base}. */
    ScenarioMutator(Scenario base, long seed) {
        this.base = base;
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    }

    /** Formats a number as a value of a scenario. */
    static String format(double value) {
        return String.format(Locale.ROOT, "%.2f", value);
    }

    /** Returns a copy of the parts with one part added, one removed, or one value of a part replaced. */
    List<ScenarioPart> mutate(List<ScenarioPart> parts) {
        List<ScenarioPart> mutated = new ArrayList<>(parts);
        int change = random.nextInt(CHANGES);
        if (mutated.isEmpty() || (change == ADD_PART && mutated.size() < MAX_PARTS)) {
            mutated.add(randomPart());
        } else if (change == REMOVE_PART && mutated.size() > 1) {
            mutated.remove(random.nextInt(mutated.size()));
        } else {
            replaceValue(mutated);
        }
        return mutated;
    }

    private void replaceValue(List<ScenarioPart> parts) {
        int index = random.nextInt(parts.size());
        ScenarioPart part = parts.get(index);
        Map<String, String> replacements = randomValues(part.kind());
        List<String> keys = List.copyOf(part.values().keySet());
        String key = keys.get(random.nextInt(keys.size()));
        parts.set(index, part.with(key, replacements.get(key)));
    }

    private ScenarioPart randomPart() {
        String kind = PART_KINDS.get(random.nextInt(PART_KINDS.size()));
        String name = "f" + Long.toString(random.nextLong() >>> 1, NAME_RADIX);
        return new ScenarioPart(kind, name, randomValues(kind));
    }

    private Map<String, String> randomValues(String partKind) {
        Map<String, String> values = new LinkedHashMap<>();
        values.put("at", format(random.nextDouble() * base.seconds() * 0.8));
        switch (partKind) {
            case "trouble" -> addTroubleValues(values);
            case "flood" -> addFloodValues(values);
            default -> addRestartValues(values);
        }
        return values;
    }

    private void addTroubleValues(Map<String, String> values) {
        values.put("for", randomDuration());
        int kind = random.nextInt(base.kinds().size());
        values.put("kind", base.kinds().get(kind).name());
        values.put("part", randomShare());
        Scenario.Fault[] faults = Scenario.Fault.values();
        values.put("fault", faults[random.nextInt(faults.length)].wireName());
        values.put("factor", format(2 + 30 * random.nextDouble()));
    }

    private void addFloodValues(Map<String, String> values) {
        values.put("for", randomDuration());
        int tenant = 1 + random.nextInt(base.clients().tenants());
        values.put("tenant", Integer.toString(tenant));
        values.put("factor", format(1 + 9 * random.nextDouble()));
    }

    private void addRestartValues(Map<String, String> values) {
        values.put("within", format(random.nextDouble() * 10));
        values.put("part", randomShare());
        values.put("how", random.nextBoolean() ? "kill" : "term");
    }

    private String randomDuration() {
        return format(1 + random.nextDouble() * base.seconds() / 3);
    }

    private String randomShare() {
        return format(0.1 + 0.9 * random.nextDouble());
    }
}
