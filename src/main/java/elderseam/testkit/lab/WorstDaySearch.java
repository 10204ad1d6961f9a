package elderseam.testkit.lab;

import elderseam.settings.SettingsFault;
import elderseam.testkit.emulator.ScenarioFile;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Searches for the scenario in which a policy does worst against a reference policy: a random-restart hill climb over the troubles,
 * floods and restarts that are added to a base scenario, by the gap in service between the two policies. The result is then reduced:
 * parts are left out and values halved as long as nine tenths of the gap remain. One seed gives one result.
 */
public final class WorstDaySearch {
    /**
     * The result of a search.
     *
     * @param scenario lines of its file
     * @param gap service of the reference policy less that of the policy
     * @param policy service of the policy
     * @param against service of the reference policy
     * @param played how many candidates were evaluated
     */
    public record Found(List<String> scenario, double gap, double policy, double against, int played) {}

    /** Parts of a scenario, with the gap that they make. */
    private record Candidate(List<ScenarioPart> parts, double gap) {}

    private static final int STARTS = 3;

    /** Share of the gap that a reduced scenario must keep. */
    private static final double KEPT_GAP_SHARE = 0.9;

    private static final String FACTOR_KEY = "factor";

    /** Keys whose values are halved to reduce a scenario. */
    private static final List<String> REDUCIBLE_KEYS = List.of("for", FACTOR_KEY, "part");

    /** A value below it is not reduced further; it is close to the two decimals of a value. */
    private static final double MIN_REDUCED_VALUE = 0.02;

    private static final double MIN_FACTOR = 1;

    private final List<String> base;
    private final String policy;
    private final String against;
    private final long seed;
    private final ScenarioMutator mutator;
    private final Consumer<String> progress;
    private int played;

    /**
     * Creates a search.
     *
     * @param file name of the base scenario's file, for messages
     * @param base lines of a scenario with a fleet, kinds and clients, to which parts are added
     * @param against the reference policy
     * @param seed of the search and of each run
     * @param progress receives a line for each improvement
     */
    public WorstDaySearch(
            String file, List<String> base, String policy, String against, long seed, Consumer<String> progress)
            throws SettingsFault {
        this.base = base;
        this.policy = policy;
        this.against = against;
        this.seed = seed;
        this.mutator = new ScenarioMutator(ScenarioFile.of(file, base, Map.of()), seed);
        this.progress = progress;
    }

    /**
     * Runs the search on the caller's thread.
     *
     * @param maxDays about how many candidates to evaluate; two thirds of them for the climb, the rest to reduce its result. Each is
     *     played with both policies
     */
    public Found search(int maxDays) throws SettingsFault {
        Candidate worst = evaluate(List.of());
        for (int start = 0; start < STARTS; start++) {
            Candidate found = climb(maxDays * 2 / 3 * (start + 1) / STARTS);
            if (found.gap > worst.gap) {
                worst = found;
            }
        }
        Candidate reduced = evaluate(reduce(worst, maxDays));
        return new Found(
                lines(reduced.parts),
                reduced.gap,
                service(reduced.parts, policy),
                service(reduced.parts, against),
                played);
    }

    /** Climbs from the base scenario until so many candidates were evaluated in all. */
    private Candidate climb(int playedLimit) throws SettingsFault {
        Candidate current = evaluate(List.of());
        while (played < playedLimit) {
            Candidate next = evaluate(mutator.mutate(current.parts));
            if (next.gap > current.gap) {
                current = next;
                progress.accept(String.format(
                        Locale.ROOT, "day %d: gap %.4f with %d parts", played, current.gap, current.parts.size()));
            }
        }
        return current;
    }

    private List<ScenarioPart> reduce(Candidate worst, int maxDays) throws SettingsFault {
        double keptGap = KEPT_GAP_SHARE * worst.gap;
        List<ScenarioPart> reduced = removeParts(worst.parts, keptGap, maxDays);
        for (int i = 0; i < reduced.size(); i++) {
            for (String key : REDUCIBLE_KEYS) {
                reduced = reduceValue(reduced, i, key, keptGap, maxDays);
            }
        }
        return reduced;
    }

    private List<ScenarioPart> removeParts(List<ScenarioPart> parts, double keptGap, int maxDays) throws SettingsFault {
        List<ScenarioPart> reduced = parts;
        for (int i = parts.size() - 1; i >= 0 && played < maxDays; i--) {
            List<ScenarioPart> without = new ArrayList<>(reduced);
            without.remove(i);
            if (evaluate(without).gap >= keptGap) {
                reduced = without;
            }
        }
        return reduced;
    }

    /** Halves one value of one part as often as the gap allows. */
    private List<ScenarioPart> reduceValue(List<ScenarioPart> parts, int index, String key, double keptGap, int maxDays)
            throws SettingsFault {
        List<ScenarioPart> reduced = parts;
        boolean isFactor = key.equals(FACTOR_KEY);
        while (reduced.get(index).values().containsKey(key) && played < maxDays) {
            ScenarioPart part = reduced.get(index);
            double half = Double.parseDouble(part.values().get(key)) / 2;
            if (half < MIN_REDUCED_VALUE || (isFactor && half < MIN_FACTOR)) {
                break;
            }
            List<ScenarioPart> halved = new ArrayList<>(reduced);
            halved.set(index, part.with(key, ScenarioMutator.format(half)));
            if (evaluate(halved).gap < keptGap) {
                break;
            }
            reduced = halved;
        }
        return reduced;
    }

    private Candidate evaluate(List<ScenarioPart> parts) throws SettingsFault {
        played++;
        double gap = service(parts, against) - service(parts, policy);
        return new Candidate(parts, gap);
    }

    private double service(List<ScenarioPart> parts, String playedPolicy) throws SettingsFault {
        return ExperimentRun.of(ScenarioFile.of("found", lines(parts), Map.of()), playedPolicy, seed, seconds -> {})
                .figures()
                .get("service");
    }

    private List<String> lines(List<ScenarioPart> parts) {
        List<String> lines = new ArrayList<>(base);
        parts.forEach(part -> part.appendTo(lines));
        return lines;
    }
}
