package elderseam.testkit.faults;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/** A kind of fault, with the word that schedules and histories have for it and the arguments that it takes. */
enum FaultKind {
    /** Cuts a member off from all others and from the store, both ways. */
    ISOLATE("isolate", Arguments.TARGET),
    /** Cuts some members off from the others; all reach the store. */
    PARTITION("partition", Arguments.TARGETS),
    /** Cuts what a member sends; what is sent to it arrives. */
    MUTE("mute", Arguments.TARGET),
    /** Cuts what is sent to a member; what it sends arrives. */
    DEAFEN("deafen", Arguments.TARGET),
    /** Delays what is sent on every link. */
    DELAY("delay", Arguments.MILLISECONDS),
    /** Loses so many of a hundred datagrams on every link. */
    LOSE("lose", Arguments.PERCENT),
    /** Resets every connection between members and to the store. */
    RESET("reset", Arguments.NONE),
    /** SIGSTOP, and SIGCONT so much later. */
    STALL("stall", Arguments.TARGET_AND_MILLISECONDS),
    /** SIGKILL; the member starts again on its folder at the heal, or by a restart. */
    CRASH("crash", Arguments.TARGET_OR_ALL),
    /** SIGTERM, as a planned restart begins; the member starts again on its folder at the heal. */
    END("end", Arguments.TARGET),
    /** A new member is taken in for one while leases are held; then the old one is killed. */
    REPLACE("replace", Arguments.TARGET),
    /** The members that do not run start again. */
    RESTART("restart", Arguments.NONE);

    /** The word for every member, which only a crash takes. */
    static final String ALL = "all";

    private static final String TARGET = "holder|leader|other|n\\d{1,3}";
    private static final String NUMBER = "[1-9]\\d{0,4}";
    private static final int MAX_MS = 60_000;
    private static final int MAX_PERCENT = 100;

    /** The arguments that a kind takes. */
    private enum Arguments {
        NONE("nothing"),
        MILLISECONDS("milliseconds, 1 to 60000"),
        PERCENT("percent, 1 to 100"),
        TARGET("whom (holder, leader, other, nK)"),
        TARGET_OR_ALL("whom (holder, leader, other, nK, all)"),
        TARGETS("whom, one or more (holder, leader, other, nK)"),
        TARGET_AND_MILLISECONDS("whom (holder, leader, other, nK) and milliseconds, 1 to 60000");

        private final String description;

        Arguments(String description) {
            this.description = description;
        }
    }

    private final String word;
    private final Arguments arguments;

    FaultKind(String word, Arguments arguments) {
        this.word = word;
        this.arguments = arguments;
    }

    /** The word for it in schedules and histories. */
    String word() {
        return word;
    }

    /** The kind of that word, if there is one. */
    static Optional<FaultKind> ofWord(String word) {
        return Arrays.stream(values()).filter(kind -> kind.word.equals(word)).findFirst();
    }

    /** The words of all kinds, in their alphabetical order. */
    static List<String> allWords() {
        return Arrays.stream(values()).map(FaultKind::word).sorted().toList();
    }

    /** What it takes as arguments, in words. */
    String allowedArguments() {
        return arguments.description;
    }

    /** Whether it takes these arguments. */
    boolean takes(List<String> words) {
        return switch (arguments) {
            case NONE -> words.isEmpty();
            case MILLISECONDS -> words.size() == 1 && isNumber(words.get(0), MAX_MS);
            case PERCENT -> words.size() == 1 && isNumber(words.get(0), MAX_PERCENT);
            case TARGET -> words.size() == 1 && isTarget(words.get(0));
            case TARGET_OR_ALL ->
                words.size() == 1 && (isTarget(words.get(0)) || words.get(0).equals(ALL));
            case TARGETS -> !words.isEmpty() && words.stream().allMatch(FaultKind::isTarget);
            case TARGET_AND_MILLISECONDS ->
                words.size() == 2 && isTarget(words.get(0)) && isNumber(words.get(1), MAX_MS);
        };
    }

    private static boolean isTarget(String word) {
        return word.matches(TARGET);
    }

    private static boolean isNumber(String word, int max) {
        return word.matches(NUMBER) && Integer.parseInt(word) <= max;
    }
}
