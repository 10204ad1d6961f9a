package elderseam.testkit.faults;

import java.util.List;
import java.util.Map;

/**
 * One fault of a round: when, in milliseconds from the round's begin, and what befalls whom. Whom: a member's name, or a
 * role that is looked up when the fault comes (holder, leader, other: neither of these, all: only of crash).
 */
record FaultInjection(long atMs, String verb, List<String> words) {
    /** Each verb with the words that it takes: W for whom, N for milliseconds. */
    static final Map<String, String> VERBS = Map.ofEntries(
            Map.entry("isolate", "W"), // from all members and the store, both ways
            Map.entry("partition", "W+"), // these members from the rest of them; the store is reached by all
            Map.entry("mute", "W"), // what it sends is lost, what it is sent arrives
            Map.entry("deafen", "W"), // the other way
            Map.entry("delay", "N"), // every link, so long
            Map.entry("lose", "P"), // so many of a hundred datagrams between members, on every link
            Map.entry("reset", ""), // every connection between members and to the store
            Map.entry("stall", "WN"), // SIGSTOP, and SIGCONT so much later
            Map.entry("crash", "W"), // SIGKILL; started again on its folder at the heal, or by restart
            Map.entry("end", "W"), // SIGTERM, as a planned restart begins; back on its folder at the heal
            Map.entry("replace", "W"), // a new member is taken in for it while leases are held, then it is killed
            Map.entry("restart", "")); // what was crashed starts again

    private static final String WHO = "holder|leader|other|n\\d{1,3}";

    /** Reads {@code VERB WORDS}; an IllegalArgumentException says what is wrong with it and what is allowed. */
    static FaultInjection parse(long atMs, String text) {
        List<String> all = List.of(text.strip().split("\\s+"));
        String form = VERBS.get(all.get(0));
        if (form == null) {
            throw new IllegalArgumentException("'" + all.get(0) + "' is no fault, allowed: "
                    + String.join(", ", VERBS.keySet().stream().sorted().toList()));
        }
        List<String> words = all.subList(1, all.size());
        boolean right = switch (form) {
            case "" -> words.isEmpty();
            case "N" -> words.size() == 1 && number(words.get(0));
            case "P" -> words.size() == 1 && number(words.get(0)) && Integer.parseInt(words.get(0)) <= 100;
            case "WN" -> words.size() == 2 && words.get(0).matches(WHO) && number(words.get(1));
            case "W+" -> !words.isEmpty() && words.stream().allMatch(w -> w.matches(WHO));
            default -> words.size() == 1 && words.get(0).matches(all.get(0).equals("crash") ? WHO + "|all" : WHO);
        };
        if (!right) {
            throw new IllegalArgumentException("'" + text.strip() + "': allowed after " + all.get(0) + ": "
                    + switch (form) {
                        case "" -> "nothing";
                        case "N" -> "milliseconds, 1 to 60000";
                        case "P" -> "percent, 1 to 100";
                        case "WN" -> "whom (holder, leader, other, nK) and milliseconds, 1 to 60000";
                        case "W+" -> "whom, one or more (holder, leader, other, nK)";
                        default ->
                            "whom (holder, leader, other, nK" + (all.get(0).equals("crash") ? ", all)" : ")");
                    });
        }
        return new FaultInjection(atMs, all.get(0), words);
    }

    private static boolean number(String text) {
        return text.matches("[1-9]\\d{0,4}") && Integer.parseInt(text) <= 60_000;
    }

    @Override
    public String toString() {
        return atMs + " " + verb + (words.isEmpty() ? "" : " " + String.join(" ", words));
    }
}
