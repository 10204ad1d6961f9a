package elderseam.rules;

import elderseam.rules.cel.Program;
import elderseam.rules.cel.Type;
import elderseam.settings.SectionFile.Section;
import java.time.DateTimeException;
import java.time.Duration;
import java.time.OffsetDateTime;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Pattern;

/** Reads {@code [route NAME]} sections. */
final class RouteReader {
    private static final Pattern MEMBER = Pattern.compile("\\d{1,18}(\\*\\d{1,6}(\\.\\d{1,3})?)?");
    private static final Pattern HEADER_NAME = Pattern.compile("[a-z0-9-]*");
    private static final double DEFAULT_WEIGHT = 1;
    private static final String DEFAULT_KEY = "message.id";

    private final RuleExpressions expressions;
    private final RuleFaults faults;

    /** A route, and the expression of the key that it assigns to a destination. */
    record KeyedRoute(Route route, Program key) {}

    RouteReader(RuleExpressions expressions, RuleFaults faults) {
        this.expressions = expressions;
        this.faults = faults;
    }

    /** Reads one route; what is wrong with it is added to the faults. */
    KeyedRoute read(Section section) {
        List<Route.Member> members = members(section);
        Map<String, List<Long>> subsets = subsets(section, members);
        String header = header(section);
        Program key = expressions
                .program(section, "by", Type.Plain.STRING)
                .orElseGet(() -> expressions.builtIn(DEFAULT_KEY, Type.Plain.STRING));
        List<Long> fallbacks = SectionValues.destinations(section, "fallback", faults);
        Route.Canary canary = section.has("canary") ? canary(section) : null;
        return new KeyedRoute(new Route(section.name(), members, subsets, fallbacks, canary, header), key);
    }

    private List<Route.Member> members(Section section) {
        List<Route.Member> members = new ArrayList<>();
        for (String word : section.text("to", "").split(SectionValues.SEPARATOR)) {
            if (MEMBER.matcher(word).matches() && !word.endsWith("*0")) {
                members.add(member(word));
            } else {
                reportMember(section, word);
            }
        }
        if (destinations(members).stream().distinct().count() < members.size()) {
            faults.add(section, "to", "a destination stands twice, allowed: once");
        }
        return members;
    }

    private static Route.Member member(String word) {
        int asterisk = word.indexOf('*');
        if (asterisk < 0) {
            return new Route.Member(Long.parseLong(word), DEFAULT_WEIGHT);
        }
        long destination = Long.parseLong(word.substring(0, asterisk));
        return new Route.Member(destination, Double.parseDouble(word.substring(asterisk + 1)));
    }

    private void reportMember(Section section, String word) {
        String problem = "'" + word + "' is no member, allowed: DESTINATION or DESTINATION*WEIGHT, apart by spaces";
        if (section.has("to")) {
            faults.add(section, "to", problem);
        } else {
            faults.add(section, problem);
        }
    }

    private static List<Long> destinations(List<Route.Member> members) {
        return members.stream().map(Route.Member::destination).toList();
    }

    private Map<String, List<Long>> subsets(Section section, List<Route.Member> members) {
        Map<String, List<Long>> subsets = new LinkedHashMap<>();
        for (String key : section.values().keySet()) {
            if (!key.startsWith(SectionKeys.SUBSET_PREFIX)) {
                continue;
            }
            List<Long> subset = SectionValues.destinations(section, key, faults);
            if (subset.isEmpty() || !destinations(members).containsAll(subset)) {
                faults.add(section, key, "names what is not in 'to', allowed: members of the route");
            }
            subsets.put(key.substring(SectionKeys.SUBSET_PREFIX.length()), subset);
        }
        return subsets;
    }

    private String header(Section section) {
        String header = section.text("header", "").toLowerCase(Locale.ROOT);
        if (!HEADER_NAME.matcher(header).matches()) {
            faults.add(section, "header", "'" + header + "' is no name of a header");
        }
        return header;
    }

    /** The canary of a section that has one; null where it is faulty. */
    private Route.Canary canary(Section section) {
        List<Long> destinations = SectionValues.destinations(section, "canary", faults);
        CanarySchedule schedule;
        try {
            schedule = CanarySchedule.parse(section);
        } catch (NumberFormatException | DateTimeException e) {
            faults.add(
                    section,
                    "canary",
                    "lacks its steps or has unusable ones, allowed: canary_steps in percent apart by spaces,"
                            + " canary_from a time such as 2026-12-01T08:00:00Z, canary_every such as 10M or 1H");
            return null;
        }
        if (destinations.size() != 1 || !schedule.isUsable()) {
            faults.add(
                    section,
                    "canary",
                    "allowed: one destination, canary_steps from 0 to 100 that do not fall,"
                            + " canary_every of a second or more");
            return null;
        }
        return new Route.Canary(destinations.get(0), schedule.stepsPercent, schedule.startMs, schedule.stepMs);
    }

    /** When a canary has which share, see {@link Route.Canary}. */
    private record CanarySchedule(List<Double> stepsPercent, long startMs, long stepMs) {
        private static final long MIN_STEP_MS = 1_000;

        /**
         * Reads the schedule.
         *
         * @throws NumberFormatException if a step is no number
         * @throws DateTimeException if the start is no time, or the duration none
         */
        static CanarySchedule parse(Section section) {
            String[] steps = section.text("canary_steps", "").strip().split(SectionValues.SEPARATOR);
            List<Double> stepsPercent =
                    Arrays.stream(steps).map(Double::valueOf).toList();
            long startMs = OffsetDateTime.parse(section.text("canary_from", ""))
                    .toInstant()
                    .toEpochMilli();
            long stepMs =
                    Duration.parse("PT" + section.text("canary_every", "")).toMillis();
            return new CanarySchedule(stepsPercent, startMs, stepMs);
        }

        /** Whether the steps are percentages that never fall, and none is too short. */
        boolean isUsable() {
            double previous = 0;
            for (double percent : stepsPercent) {
                if (!(percent >= previous)) { // which NaN isn't either
                    return false;
                }
                previous = percent;
            }
            return previous <= 100 && stepMs >= MIN_STEP_MS;
        }
    }
}
