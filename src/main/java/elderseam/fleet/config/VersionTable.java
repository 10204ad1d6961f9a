package elderseam.fleet.config;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The replicated state of versions: those committed, and the one proposal that is looked at. A pure function of the commands in
 * the order of the engine's log; the leader stamps each with the table's time ({@link elderseam.fleet.lease.LeaderClock}).
 *
 * <p>A proposal names the version it was made from, and is refused where that is not the latest (compare and set), or where another
 * is looked at. Each member that is there checks it whole on its own machine and says what it found. One fault refuses it for all. It is
 * committed once all members that confirmed within the bound T have found nothing, and they are a majority; it takes effect {@code leadMs}
 * later, which is no less than T, so that whoever has not heard of it by then is past its bound and acts on nothing it doubts.
 */
public final class VersionTable {
    public enum Op {
        @JsonProperty("PROPOSE")
        PROPOSE,
        @JsonProperty("CHECKED")
        CHECKED,
        @JsonProperty("CONFIRM")
        CONFIRM
    }

    /**
     * One command. PROPOSE: {@code number} is the parent, {@code texts} the content. CHECKED: {@code number} the proposal, {@code fault}
     * empty where it passed. CONFIRM: what is committed? {@code members}: how many the group has; {@code boundMs}: T, of the proposal.
     */
    public record Command(
            @JsonProperty("op") Op op,
            @JsonProperty("member") String member,
            @JsonProperty("number") long number,
            @JsonProperty("note") String note,
            @JsonProperty("texts") Map<String, String> texts,
            @JsonProperty("fault") String fault,
            @JsonProperty("members") int members,
            @JsonProperty("boundMs") long boundMs,
            @JsonProperty("leadMs") long leadMs,
            @JsonProperty("atMs") long atMs) {
        /** Checks the form; an IllegalArgumentException names the fault. */
        public Command {
            if (op == null || member == null || !member.matches("[A-Za-z0-9._-]{1,64}")) {
                throw new IllegalArgumentException("member '" + member + "': 1 to 64 of A-Z a-z 0-9 . _ - allowed");
            }
            if (op == Op.PROPOSE
                    && (texts == null
                            || ConfigurationVersion.size(texts) > MOST
                            || note == null
                            || note.length() > MOST_NOTE)) {
                throw new IllegalArgumentException(
                        "a version has at most " + MOST + " characters, and a note " + MOST_NOTE);
            }
            if (op == Op.PROPOSE && (boundMs < 1 || leadMs < boundMs || members < 1)) {
                throw new IllegalArgumentException("a version takes effect no sooner than the bound after its commit");
            }
        }

        public static Command propose(
                String member,
                long parent,
                String note,
                Map<String, String> texts,
                int members,
                long boundMs,
                long leadMs) {
            return new Command(Op.PROPOSE, member, parent, note, texts, "", members, boundMs, leadMs, 0);
        }

        public static Command checked(String member, long number, String fault) {
            return new Command(Op.CHECKED, member, number, "", Map.of(), fault, 1, 1, 1, 0);
        }

        public static Command confirm(String member) {
            return new Command(Op.CONFIRM, member, 0, "", Map.of(), "", 1, 1, 1, 0);
        }

        public Command stamped(long at) {
            return new Command(op, member, number, note, texts, fault, members, boundMs, leadMs, at);
        }
    }

    /** {@code word}: empty, or why it was refused; {@code latest}: the newest committed version, {@code nowMs} the table's time. */
    public record Outcome(
            @JsonProperty("word") String word,
            @JsonProperty("latest") long latest,
            @JsonProperty("nowMs") long nowMs) {}

    /** A proposal that is looked at, and what was found: by member, empty for nothing. */
    public record Pending(
            @JsonProperty("version") ConfigurationVersion version,
            @JsonProperty("members") int members,
            @JsonProperty("boundMs") long boundMs,
            @JsonProperty("leadMs") long leadMs,
            @JsonProperty("fromMs") long fromMs,
            @JsonProperty("found") Map<String, String> found) {}

    /** What became of a proposal, for those who ask. */
    public record Ended(
            @JsonProperty("number") long number,
            @JsonProperty("hash") String hash,
            @JsonProperty("word") String word) {}

    /** The most characters of a version, as one entry of the log holds; of a note; versions that are kept. */
    public static final int MOST = 40_000, MOST_NOTE = 200, KEPT = 12;

    private final TreeMap<Long, ConfigurationVersion> committed = new TreeMap<>();
    private final Map<String, Long> confirmed =
            new LinkedHashMap<>(); // by member: when it last did, in the table's time
    private Pending pending;
    private Ended ended = new Ended(0, "", "");
    private long now = Long.MIN_VALUE, last; // last: the highest number ever given, to a refused one too

    /** Applies one command in log order. */
    public Outcome apply(Command c) {
        now = Math.max(now, c.atMs());
        String word = switch (c.op()) {
            case PROPOSE -> propose(c);
            case CHECKED -> checked(c);
            case CONFIRM -> {
                confirmed.put(c.member(), now);
                yield "";
            }
        };
        decide();
        return new Outcome(word, latest().number(), now);
    }

    private String propose(Command c) {
        if (asked(c, pending()) || asked(c, latest())) {
            return ""; // the same once more, since its answer was lost
        }
        if (c.number() != latest().number()) {
            return "made from version " + c.number() + ", the latest is " + latest().number();
        }
        if (pending != null) {
            return "version " + pending.version.number() + " of " + pending.version.author()
                    + " is looked at, ask again when that has ended";
        }
        if (now < latest().effectMs()) {
            return "version " + latest().number() + " takes effect in " + (latest().effectMs() - now)
                    + " ms, ask again then";
        }
        ConfigurationVersion v = ConfigurationVersion.of(++last, c.number(), c.member(), c.note(), c.texts());
        pending = new Pending(v, c.members(), c.boundMs(), c.leadMs(), now, new LinkedHashMap<>());
        return "";
    }

    private static boolean asked(Command c, ConfigurationVersion v) {
        return v != null
                && v.number() > 0
                && v.parent() == c.number()
                && v.author().equals(c.member())
                && v.note().equals(c.note())
                && v.texts().equals(c.texts());
    }

    private String checked(Command c) {
        if (pending == null || pending.version.number() != c.number()) {
            return "version " + c.number() + " is not looked at";
        }
        pending.found.put(c.member(), c.fault());
        return "";
    }

    /** Ends the look at a proposal where all that counts was found, or nothing more will be. */
    private void decide() {
        if (pending == null) {
            return;
        }
        for (Map.Entry<String, String> f : pending.found.entrySet()) {
            if (!f.getValue().isEmpty()) {
                end("refused: " + f.getKey() + ": " + f.getValue());
                return;
            }
        }
        boolean waited =
                now - pending.fromMs >= pending.boundMs; // whoever has not confirmed since acts on nothing it doubts
        List<String> there = confirmed.entrySet().stream()
                .filter(e -> now - e.getValue() < pending.boundMs)
                .map(Map.Entry::getKey)
                .toList();
        boolean majority = 2 * pending.found.size() > pending.members;
        if (pending.found.size() >= pending.members
                || majority && waited && pending.found.keySet().containsAll(there)) {
            committed.put(pending.version.number(), pending.version.effective(now + pending.leadMs));
            while (committed.size() > KEPT) {
                committed.pollFirstEntry();
            }
            end("");
        } else if (now - pending.fromMs > 10 * pending.boundMs) {
            end("refused: not looked at by a majority in time");
        }
    }

    private void end(String word) {
        ended = new Ended(pending.version.number(), pending.version.hash(), word);
        pending = null;
    }

    /** The newest committed one, {@link ConfigurationVersion#NONE} before the first. */
    public ConfigurationVersion latest() {
        return committed.isEmpty()
                ? ConfigurationVersion.NONE
                : committed.lastEntry().getValue();
    }

    /** That committed version, or null. */
    public ConfigurationVersion version(long number) {
        return number == 0 ? ConfigurationVersion.NONE : committed.get(number);
    }

    /** All that are kept, oldest first. */
    public List<ConfigurationVersion> all() {
        return new ArrayList<>(committed.values());
    }

    /** The proposal that is looked at, or null. */
    public ConfigurationVersion pending() {
        return pending == null ? null : pending.version;
    }

    public Ended ended() {
        return ended;
    }

    public long now() {
        return now;
    }

    /** All of it, for a snapshot. */
    public record Image(
            @JsonProperty("committed") List<ConfigurationVersion> committed,
            @JsonProperty("confirmed") Map<String, Long> confirmed,
            @JsonProperty("pending") Pending pending,
            @JsonProperty("ended") Ended ended,
            @JsonProperty("nowMs") long nowMs,
            @JsonProperty("last") long last) {}

    public Image image() {
        Pending p = pending == null
                ? null
                : new Pending(
                        pending.version,
                        pending.members,
                        pending.boundMs,
                        pending.leadMs,
                        pending.fromMs,
                        new LinkedHashMap<>(pending.found));
        return new Image(all(), new LinkedHashMap<>(confirmed), p, ended, now, last);
    }

    public void restore(Image saved) {
        committed.clear();
        saved.committed().forEach(v -> committed.put(v.number(), v));
        confirmed.clear();
        confirmed.putAll(saved.confirmed());
        pending = saved.pending();
        ended = saved.ended();
        now = saved.nowMs();
        last = saved.last();
    }
}
