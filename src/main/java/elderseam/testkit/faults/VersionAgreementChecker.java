package elderseam.testkit.faults;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Checks for how long processes acted on different configuration versions. A process acts on a version from when it says so
 * until it says something else, is killed or stopped, or until the instant up to which it said it would without another word.
 */
final class VersionAgreementChecker {
    /** How long one process acted on one version, of the machine's monotonic clock. */
    private record Acting(String process, long version, long fromNs, long untilNs) {
        private Acting endedAt(long atNs) {
            return new Acting(process, version, fromNs, Math.min(untilNs, atNs));
        }

        private boolean isEmpty() {
            return untilNs <= fromNs;
        }
    }

    /** A time of a test, its ends included. */
    private record Span(long fromNs, long toNs) {
        private boolean contains(long atNs) {
            return fromNs <= atNs && atNs <= toNs;
        }
    }

    /** Two processes that acted on different versions at one time, for that long. */
    private record Disagreement(Acting first, Acting second, long durationNs) {
        private long durationMs() {
            return durationNs / Waits.NANOS_PER_MS;
        }

        @Override
        public String toString() {
            return first.process + " acted on version " + first.version + " and " + second.process + " on version "
                    + second.version + " for " + durationMs() + " ms";
        }
    }

    private final List<HistoryLine> lines;

    /** {@code lines}: in the order of their instants. */
    VersionAgreementChecker(List<HistoryLine> lines) {
        this.lines = lines;
    }

    /**
     * What breaks agreement: two that act on different versions for longer than {@code maxMs}, or, in rounds in which one member
     * led throughout, longer than {@code maxSteadyMs}; and a version's number with two contents.
     */
    List<String> check(long maxMs, long maxSteadyMs) {
        List<String> violations = new ArrayList<>();
        longest(false)
                .filter(disagreement -> disagreement.durationNs > maxMs * Waits.NANOS_PER_MS)
                .ifPresent(disagreement ->
                        violations.add("agreement: " + disagreement + ", at most " + maxMs + " ms allowed"));
        longest(true)
                .filter(disagreement -> disagreement.durationNs > maxSteadyMs * Waits.NANOS_PER_MS)
                .ifPresent(disagreement -> violations.add("agreement: " + disagreement
                        + " while one member led, at most " + maxSteadyMs + " ms allowed"));
        checkHashes(violations);
        return violations;
    }

    private void checkHashes(List<String> violations) {
        Map<Long, String> hashes = new HashMap<>(); // by version
        for (HistoryLine line : lines) {
            if (line.is("acting")) {
                long version = line.number("number");
                String hash = line.text("hash");
                String first = hashes.putIfAbsent(version, hash);
                if (first != null && !first.equals(hash)) {
                    violations.add("agreement: version " + version + " is " + first + " and " + hash);
                }
            }
        }
    }

    /**
     * The longest time in which two acted on different versions, in milliseconds.
     *
     * @param steadyOnly only those that began in a round in which one member led throughout
     */
    long longestMs(boolean steadyOnly) {
        return longest(steadyOnly).map(Disagreement::durationMs).orElse(0L);
    }

    private Optional<Disagreement> longest(boolean steadyOnly) {
        List<Span> steadyRounds = steadyRounds();
        Disagreement longest = null;
        List<Acting> open = new ArrayList<>();
        for (Acting acting : actings()) {
            open.removeIf(other -> other.untilNs <= acting.fromNs);
            boolean counts = !steadyOnly || steadyRounds.stream().anyMatch(round -> round.contains(acting.fromNs));
            for (Acting other : open) {
                long durationNs = Math.min(other.untilNs, acting.untilNs) - acting.fromNs;
                if (counts
                        && other.version != acting.version
                        && !other.process.equals(acting.process)
                        && (longest == null || durationNs > longest.durationNs)) {
                    longest = new Disagreement(other, acting, durationNs);
                }
            }
            open.add(acting);
        }
        return Optional.ofNullable(longest);
    }

    /** The rounds in which one member led throughout, as the test says at the end of each. */
    private List<Span> steadyRounds() {
        List<Span> rounds = new ArrayList<>();
        long beganNs = -1; // before the first round
        for (HistoryLine line : lines) {
            if (line.is("round")) {
                beganNs = line.atNs();
            } else if (line.is("steady") && beganNs >= 0) {
                rounds.add(new Span(beganNs, line.atNs()));
            }
        }
        return rounds;
    }

    /** What each process acted on, in the order of the beginnings; one version without a gap is one. */
    private List<Acting> actings() {
        List<Acting> ended = new ArrayList<>();
        Map<String, Acting> current = new HashMap<>(); // by process
        Map<String, Acting> stalled = new HashMap<>(); // by process
        for (HistoryLine line : lines) {
            switch (line.type()) {
                case "acting" -> act(line, current, ended);
                case "killed" -> end(ended, current.remove(line.text("member")), line.atNs());
                case "stopped" -> {
                    Acting acting = current.remove(line.text("member"));
                    end(ended, acting, line.atNs());
                    if (acting != null) {
                        stalled.put(acting.process, acting);
                    }
                }
                case "resumed" -> {
                    Acting acting = stalled.remove(line.text("member"));
                    if (acting != null) { // it goes on where it was, for what is left of its word
                        current.put(
                                acting.process,
                                new Acting(acting.process, acting.version, line.atNs(), acting.untilNs));
                    }
                }
                default -> {
                    // no event that changes what a process acts on
                }
            }
        }
        long endNs = lines.isEmpty() ? 0 : lines.get(lines.size() - 1).atNs();
        current.values().forEach(acting -> end(ended, acting, endNs));
        ended.sort(Comparator.comparingLong(Acting::fromNs));
        return ended;
    }

    private static void act(HistoryLine line, Map<String, Acting> current, List<Acting> ended) {
        String process = line.text("process");
        long version = line.number("number");
        long untilNs = line.number("until_ns");
        Acting before = current.get(process);
        boolean goesOn = before != null && before.version == version && before.untilNs >= line.atNs();
        if (!goesOn) {
            end(ended, before, line.atNs());
        }
        long fromNs = goesOn ? before.fromNs : line.atNs();
        current.put(process, new Acting(process, version, fromNs, untilNs));
    }

    /** Adds what a process acted on until {@code atNs}; nothing where {@code acting} is null. */
    private static void end(List<Acting> ended, Acting acting, long atNs) {
        if (acting == null) {
            return;
        }
        Acting whole = acting.endedAt(atNs);
        if (!whole.isEmpty()) {
            ended.add(whole);
        }
    }
}
