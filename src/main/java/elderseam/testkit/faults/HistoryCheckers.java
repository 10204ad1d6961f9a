package elderseam.testkit.faults;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What must hold of a history, and figures from it. The checkers read the history's lines and nothing else: none shares code
 * with what it judges. Each returns the violations that it finds, a line each.
 */
final class HistoryCheckers {
    private static final String PROPOSAL_ACCEPTED = "200 asked ";
    private static final int PROPOSAL_HASH_WORD = 2;

    private final List<HistoryLine> lines; // in the order of their instants

    /** {@code lines}: those of all processes, in any order. */
    HistoryCheckers(List<JsonNode> lines) {
        this.lines = lines.stream()
                .map(HistoryLine::of)
                .sorted(Comparator.comparingLong(HistoryLine::atNs))
                .toList();
    }

    /** Reads a history from the files of its processes. */
    static HistoryCheckers read(List<Path> files) throws IOException {
        ObjectMapper json = new ObjectMapper();
        List<JsonNode> lines = new ArrayList<>();
        for (Path file : files) {
            for (String line : Files.readAllLines(file)) {
                try {
                    lines.add(json.readTree(line));
                } catch (JacksonException e) {
                    // the last line of a process that was killed in the middle of it
                }
            }
        }
        return new HistoryCheckers(lines);
    }

    /** All violations of a lease test. */
    List<String> all(long livenessMs) {
        List<String> violations = new ArrayList<>(leaseSafety());
        violations.addAll(fencing());
        violations.addAll(liveness(livenessMs));
        return violations;
    }

    /** Two holders of a lease never believe to hold it at one instant, and no token is granted to two. */
    List<String> leaseSafety() {
        return new LeaseSafetyChecker().check(lines);
    }

    /** Acts take effect in the order of their tokens, each token is one holder's, and the newest is never refused. */
    List<String> fencing() {
        Map<String, Long> newestTokens = new HashMap<>(); // by lease
        Map<String, String> holders = new HashMap<>(); // by lease and token
        List<String> violations = new ArrayList<>();
        for (HistoryLine line : lines) {
            if (!line.is("effect")) {
                continue;
            }
            String lease = line.text("lease");
            String holder = line.text("holder");
            long token = line.number("token");
            long newest = newestTokens.getOrDefault(lease, 0L);
            String first = holders.putIfAbsent(lease + " " + token, holder);
            if (first != null && !first.equals(holder)) {
                violations.add("fencing: token " + token + " acted for " + first + " and for " + holder);
            }
            if (line.isAdmittedAct() && token < newest) {
                violations.add(
                        "fencing: an act of " + holder + " by token " + token + " took effect after one by " + newest);
            } else if (line.isFencedAct() && token >= newest) {
                violations.add("fencing: an act of " + holder + " by the newest token " + token + " was refused");
            }
            newestTokens.put(lease, Math.max(newest, token));
        }
        return violations;
    }

    /** After each heal an act takes effect within {@code maxMs}. */
    List<String> liveness(long maxMs) {
        List<String> violations = new ArrayList<>();
        long healedNs = -1; // while an act is due, when the heal was
        for (HistoryLine line : lines) {
            boolean act = line.isAdmittedAct();
            boolean judged = act || line.is("healed") || line.is("end");
            long sinceNs = line.atNs() - healedNs;
            if (healedNs >= 0 && judged && sinceNs > maxMs * Waits.NANOS_PER_MS) {
                String late = act ? sinceNs / Waits.NANOS_PER_MS + " ms" : "no act";
                violations.add("liveness: " + late + " after a heal, at most " + maxMs + " ms allowed");
                healedNs = -1;
            }
            if (act) {
                healedNs = -1;
            } else if (line.is("healed")) {
                healedNs = line.atNs();
            }
        }
        return violations;
    }

    /**
     * No two processes act on different configuration versions for longer than {@code maxMs}; in rounds in which one member led
     * throughout not for longer than {@code maxSteadyMs}, whatever is cut off or stalled.
     */
    List<String> agreement(long maxMs, long maxSteadyMs) {
        return new VersionAgreementChecker(lines).check(maxMs, maxSteadyMs);
    }

    /**
     * The longest time in which two processes acted on different configuration versions, in milliseconds.
     *
     * @param steadyOnly only those that began in a round in which one member led throughout
     */
    long longestDisagreementMs(boolean steadyOnly) {
        return new VersionAgreementChecker(lines).longestMs(steadyOnly);
    }

    /** Milliseconds from each proposal of a version that was committed to the first member that acted on it. */
    List<Long> effects() {
        Map<String, Long> proposedNs = new HashMap<>(); // by hash
        List<Long> effectsMs = new ArrayList<>();
        for (HistoryLine line : lines) {
            if (line.is("propose") && line.text("answer").startsWith(PROPOSAL_ACCEPTED)) {
                String hash = line.text("answer").split("[ ;]")[PROPOSAL_HASH_WORD];
                proposedNs.putIfAbsent(hash, line.atNs());
            } else if (line.is("acting")) {
                Long fromNs = proposedNs.remove(line.text("hash"));
                if (fromNs != null) {
                    effectsMs.add((line.atNs() - fromNs) / Waits.NANOS_PER_MS);
                }
            }
        }
        return effectsMs;
    }

    /** Milliseconds from each kill of the acting holder, or from when it was told to end, to the first act by a later token. */
    List<Long> takeovers() {
        List<Long> takeoversMs = new ArrayList<>();
        String actingHolder = "";
        long killedNs = -1; // while a takeover is due, when the holder was killed
        long token = 0;
        for (HistoryLine line : lines) {
            if (line.isAdmittedAct()) {
                if (killedNs >= 0 && line.number("token") > token) {
                    takeoversMs.add((line.atNs() - killedNs) / Waits.NANOS_PER_MS);
                    killedNs = -1;
                }
                actingHolder = line.text("holder");
                token = line.number("token");
            } else if ((line.is("killed") || line.is("ending"))
                    && killedNs < 0
                    && actingHolder.startsWith(line.text("member") + "/")) {
                killedNs = line.atNs();
            }
        }
        return takeoversMs;
    }

    /** How many lines are of that type. */
    long count(String type) {
        return lines.stream().filter(line -> line.is(type)).count();
    }

    /** How many acts the store refused by their token. */
    long fenced() {
        return lines.stream().filter(HistoryLine::isFencedAct).count();
    }
}
