package elderseam.testkit.faults;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What must hold of a history. They read its lines and nothing else: none shares code with what it judges, and each names
 * the instants at which the rule broke.
 */
final class HistoryCheckers {
    /** How long one holder believed to hold by one token, of the machine's clock. */
    private record Belief(String holder, long from, long until) {}

    private final List<JsonNode> lines;

    /** Lines in the order of their instants. */
    HistoryCheckers(List<JsonNode> lines) {
        this.lines = lines.stream()
                .sorted(Comparator.comparingLong(l -> l.get("at_ns").asLong()))
                .toList();
    }

    static HistoryCheckers read(List<Path> files) throws IOException {
        ObjectMapper json = new ObjectMapper();
        List<JsonNode> all = new ArrayList<>();
        for (Path file : files) {
            for (String line : Files.readAllLines(file)) {
                try {
                    all.add(json.readTree(line));
                } catch (com.fasterxml.jackson.core.JacksonException e) {
                    // the last line of a process that was killed in the middle of it
                }
            }
        }
        return new HistoryCheckers(all);
    }

    List<String> all(long livenessMs) {
        List<String> found = new ArrayList<>(leaseSafety());
        found.addAll(fencing());
        found.addAll(liveness(livenessMs));
        return found;
    }

    /** Two holders of a lease never believe to hold it at one instant, and no token is granted to two. */
    List<String> leaseSafety() {
        Map<String, TreeMap<Long, Belief>> beliefs = new LinkedHashMap<>(); // by lease, by token
        List<String> found = new ArrayList<>();
        for (JsonNode l : lines) {
            String type = l.get("type").asText();
            long at = l.get("at_ns").asLong();
            if (type.equals("granted")) {
                String holder = l.get("holder").asText();
                TreeMap<Long, Belief> tokens =
                        beliefs.computeIfAbsent(l.get("lease").asText(), k -> new TreeMap<>());
                long token = l.get("token").asLong();
                long until = l.get("until_ns").asLong();
                Belief b = tokens.get(token);
                if (b != null && !b.holder.equals(holder)) {
                    found.add("lease safety: token " + token + " was granted to " + b.holder + " and to " + holder);
                }
                tokens.put(
                        token, new Belief(holder, b == null ? at : b.from, Math.max(until, b == null ? 0 : b.until)));
            } else if (type.equals("refused")
                    || type.equals("released")) { // it believes no longer, whatever its term was
                ends(beliefs.get(l.get("lease").asText()), l.get("holder").asText(), at);
            } else if (type.equals("killed")) {
                beliefs.values().forEach(tokens -> ends(tokens, l.get("member").asText() + "/", at));
            }
        }
        beliefs.forEach((lease, tokens) -> {
            Belief before = null;
            for (Map.Entry<Long, Belief> e : tokens.entrySet()) {
                Belief b = e.getValue();
                if (before != null && b.from < before.until) {
                    found.add("lease safety: " + b.holder + " held " + lease + " by token " + e.getKey() + " "
                            + (before.until - b.from) / 1_000 + " us before " + before.holder + " had stopped");
                }
                before = before == null || b.until > before.until ? b : before;
            }
        });
        return found;
    }

    private static void ends(Map<Long, Belief> tokens, String whose, long at) {
        if (tokens != null) {
            tokens.replaceAll(
                    (token, b) -> b.holder.startsWith(whose) && b.until > at ? new Belief(b.holder, b.from, at) : b);
        }
    }

    /** Acts take effect in the order of their tokens, and each token is one holder's; none is fenced off that was the newest. */
    List<String> fencing() {
        Map<String, Long> newest = new HashMap<>();
        Map<String, String> holders = new HashMap<>();
        List<String> found = new ArrayList<>();
        for (JsonNode l : lines) {
            if (!l.get("type").asText().equals("effect")) {
                continue;
            }
            String lease = l.get("lease").asText();
            String holder = l.get("holder").asText();
            long token = l.get("token").asLong();
            long seen = newest.getOrDefault(lease, 0L);
            String first = holders.putIfAbsent(lease + " " + token, holder);
            if (first != null && !first.equals(holder)) {
                found.add("fencing: token " + token + " acted for " + first + " and for " + holder);
            }
            if (l.get("admitted").asBoolean() && token < seen) {
                found.add("fencing: an act of " + holder + " by token " + token + " took effect after one by " + seen);
            } else if (!l.get("admitted").asBoolean() && token >= seen) {
                found.add("fencing: an act of " + holder + " by the newest token " + token + " was refused");
            }
            newest.put(lease, Math.max(seen, token));
        }
        return found;
    }

    /** After each heal an act takes effect within {@code mostMs}. */
    List<String> liveness(long mostMs) {
        List<String> found = new ArrayList<>();
        long healed = -1;
        for (JsonNode l : lines) {
            String type = l.get("type").asText();
            long at = l.get("at_ns").asLong();
            boolean effect = type.equals("effect") && l.get("admitted").asBoolean();
            if (healed >= 0
                    && (effect || type.equals("healed") || type.equals("end"))
                    && at - healed > mostMs * 1_000_000) {
                found.add("liveness: " + (effect ? (at - healed) / 1_000_000 + " ms" : "no act")
                        + " after a heal, at most " + mostMs + " ms allowed");
                healed = -1;
            }
            healed = effect ? -1 : type.equals("healed") ? at : healed;
        }
        return found;
    }

    /** How long one process acted on one version, of the machine's clock. */
    private record Acting(String process, long number, long from, long until) {}

    /**
     * No two processes act on different versions for longer than {@code mostMs}. A process acts on a version from when it says so until
     * it says something else, is killed or stopped, or until the instant up to which it said it would without another word. In rounds in
     * which one member led throughout all switch within {@code stepMs}, whatever is cut off or stalled.
     */
    List<String> agreement(long mostMs, long stepMs) {
        List<String> found = new ArrayList<>();
        longest(false)
                .filter(d -> d.ns > mostMs * 1_000_000)
                .ifPresent(d -> found.add("agreement: " + d + ", at most " + mostMs + " ms allowed"));
        longest(true)
                .filter(d -> d.ns > stepMs * 1_000_000)
                .ifPresent(
                        d -> found.add("agreement: " + d + " while one member led, at most " + stepMs + " ms allowed"));
        Map<Long, String> hashes = new HashMap<>();
        for (JsonNode l : lines) {
            if (l.get("type").asText().equals("acting")) {
                String hash = l.get("hash").asText();
                String first = hashes.putIfAbsent(l.get("number").asLong(), hash);
                if (first != null && !first.equals(hash)) {
                    found.add("agreement: version " + l.get("number").asLong() + " is " + first + " and " + hash);
                }
            }
        }
        return found;
    }

    /** The longest time in which two acted on different versions, in milliseconds; {@code steady}: of those in rounds in which
     *  one member led. */
    long longestDisagreementMs(boolean steady) {
        return longest(steady).map(d -> d.ns / 1_000_000).orElse(0L);
    }

    private record Disagreement(Acting a, Acting b, long ns) {
        @Override
        public String toString() {
            return a.process + " acted on version " + a.number + " and " + b.process + " on version " + b.number
                    + " for " + ns / 1_000_000 + " ms";
        }
    }

    /** Milliseconds from each proposal that was committed to the first member that acted on it. */
    List<Long> effects() {
        Map<String, Long> proposed = new HashMap<>();
        List<Long> all = new ArrayList<>();
        for (JsonNode l : lines) {
            if (l.get("type").asText().equals("propose")
                    && l.get("answer").asText().startsWith("200 asked ")) {
                proposed.putIfAbsent(
                        l.get("answer").asText().split("[ ;]")[2],
                        l.get("at_ns").asLong());
            } else if (l.get("type").asText().equals("acting")) {
                Long from = proposed.remove(l.get("hash").asText());
                if (from != null) {
                    all.add((l.get("at_ns").asLong() - from) / 1_000_000);
                }
            }
        }
        return all;
    }

    private record Span(long from, long to) {}

    /** The rounds in which one member led throughout, as the rig says at the end of each. */
    private List<Span> steady() {
        List<Span> all = new ArrayList<>();
        long began = -1;
        for (JsonNode l : lines) {
            String type = l.get("type").asText();
            long at = l.get("at_ns").asLong();
            if (type.equals("round")) {
                began = at;
            } else if (type.equals("steady") && began >= 0) {
                all.add(new Span(began, at));
            }
        }
        return all;
    }

    private java.util.Optional<Disagreement> longest(boolean steady) {
        List<Acting> all = actings();
        List<Span> spans = steady ? steady() : List.of();
        Disagreement longest = null;
        List<Acting> open = new ArrayList<>();
        for (Acting a : all) { // by their beginnings
            open.removeIf(o -> o.until <= a.from);
            for (Acting o : open) {
                long ns = Math.min(o.until, a.until) - a.from;
                if (o.number != a.number
                        && !o.process.equals(a.process)
                        && (longest == null || ns > longest.ns)
                        && (!steady || spans.stream().anyMatch(p -> p.from <= a.from && a.from <= p.to))) {
                    longest = new Disagreement(o, a, ns);
                }
            }
            open.add(a);
        }
        return java.util.Optional.ofNullable(longest);
    }

    /** Each process's acting, spans of one version joined, in the order of their beginnings. */
    private List<Acting> actings() {
        List<Acting> all = new ArrayList<>();
        Map<String, Acting> now = new HashMap<>();
        Map<String, Acting> stopped = new HashMap<>();
        long last =
                lines.isEmpty() ? 0 : lines.get(lines.size() - 1).get("at_ns").asLong();
        for (JsonNode l : lines) {
            String type = l.get("type").asText();
            long at = l.get("at_ns").asLong();
            if (type.equals("acting")) {
                String process = l.get("process").asText();
                long number = l.get("number").asLong();
                long until = l.get("until_ns").asLong();
                Acting before = now.get(process);
                if (before != null && before.number == number && before.until >= at) {
                    now.put(process, new Acting(process, number, before.from, until));
                } else {
                    ends(all, before, at);
                    now.put(process, new Acting(process, number, at, until));
                }
            } else if (type.equals("killed") || type.equals("stopped")) {
                Acting a = now.remove(l.get("member").asText());
                ends(all, a, at);
                if (a != null && type.equals("stopped")) {
                    stopped.put(a.process, a);
                }
            } else if (type.equals("resumed")
                    && stopped.containsKey(l.get("member").asText())) {
                Acting a = stopped.remove(
                        l.get("member").asText()); // it goes on where it was, for what is left of its word
                now.put(a.process, new Acting(a.process, a.number, at, a.until));
            }
        }
        now.values().forEach(a -> ends(all, a, last));
        all.sort(Comparator.comparingLong(Acting::from));
        return all;
    }

    private static void ends(List<Acting> all, Acting a, long at) {
        if (a != null && Math.min(a.until, at) > a.from) {
            all.add(new Acting(a.process, a.number, a.from, Math.min(a.until, at)));
        }
    }

    /** Milliseconds from each kill of the acting holder, or from when it was told to end, to the first act of a later token. */
    List<Long> takeovers() {
        List<Long> all = new ArrayList<>();
        String acting = "";
        long killed = -1;
        long token = 0;
        for (JsonNode l : lines) {
            String type = l.get("type").asText();
            if (type.equals("effect") && l.get("admitted").asBoolean()) {
                if (killed >= 0 && l.get("token").asLong() > token) {
                    all.add((l.get("at_ns").asLong() - killed) / 1_000_000);
                    killed = -1;
                }
                acting = l.get("holder").asText();
                token = l.get("token").asLong();
            } else if ((type.equals("killed") || type.equals("ending"))
                    && killed < 0
                    && acting.startsWith(l.get("member").asText() + "/")) {
                killed = l.get("at_ns").asLong();
            }
        }
        return all;
    }

    /** How many lines are of that type. */
    long count(String type) {
        return lines.stream().filter(l -> l.get("type").asText().equals(type)).count();
    }

    /** How many acts the store refused by their token. */
    long fenced() {
        return lines.stream()
                .filter(l -> l.get("type").asText().equals("effect")
                        && !l.get("admitted").asBoolean())
                .count();
    }
}
