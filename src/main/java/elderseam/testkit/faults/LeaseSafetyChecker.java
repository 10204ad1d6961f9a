package elderseam.testkit.faults;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/** Checks that two holders of a lease never believe to hold it at one instant, and that no token is granted to two. Used once. */
final class LeaseSafetyChecker {
    /** How long one holder believed to hold by one token, of the machine's monotonic clock. */
    private record Belief(String holder, long fromNs, long untilNs) {}

    private final Map<String, SortedMap<Long, Belief>> beliefs = new LinkedHashMap<>(); // by lease, by token
    private final List<String> violations = new ArrayList<>();

    /** The violations in these lines, which are in the order of their instants. */
    List<String> check(List<HistoryLine> lines) {
        for (HistoryLine line : lines) {
            switch (line.type()) {
                case "granted" -> grant(line);
                case "refused", "released" -> // the holder believes no longer, whatever its term was
                    end(beliefs.get(line.text("lease")), line.text("holder"), line.atNs());
                case "killed" ->
                    beliefs.values().forEach(tokens -> end(tokens, line.text("member") + "/", line.atNs()));
                default -> {
                    // no event of a lease's term
                }
            }
        }
        beliefs.forEach(this::checkOverlap);
        return violations;
    }

    private void grant(HistoryLine line) {
        String holder = line.text("holder");
        long token = line.number("token");
        long untilNs = line.number("until_ns");
        SortedMap<Long, Belief> tokens = beliefs.computeIfAbsent(line.text("lease"), lease -> new TreeMap<>());
        Belief earlier = tokens.get(token);
        if (earlier == null) {
            tokens.put(token, new Belief(holder, line.atNs(), Math.max(untilNs, 0)));
            return;
        }
        if (!earlier.holder.equals(holder)) {
            violations.add("lease safety: token " + token + " was granted to " + earlier.holder + " and to " + holder);
        }
        tokens.put(token, new Belief(holder, earlier.fromNs, Math.max(untilNs, earlier.untilNs)));
    }

    /** Ends what holders believe whose names begin with {@code holderPrefix}; {@code tokens} null where the lease was never granted. */
    private static void end(Map<Long, Belief> tokens, String holderPrefix, long atNs) {
        if (tokens == null) {
            return;
        }
        tokens.replaceAll((token, belief) -> belief.holder.startsWith(holderPrefix) && belief.untilNs > atNs
                ? new Belief(belief.holder, belief.fromNs, atNs)
                : belief);
    }

    private void checkOverlap(String lease, SortedMap<Long, Belief> tokens) {
        Belief latest = null; // of those before, the one that ended last
        for (Map.Entry<Long, Belief> entry : tokens.entrySet()) {
            Belief belief = entry.getValue();
            if (latest != null && belief.fromNs < latest.untilNs) {
                violations.add("lease safety: " + belief.holder + " held " + lease + " by token " + entry.getKey() + " "
                        + (latest.untilNs - belief.fromNs) / 1_000 + " us before " + latest.holder + " had stopped");
            }
            if (latest == null || belief.untilNs > latest.untilNs) {
                latest = belief;
            }
        }
    }
}
