package elderseam.testkit.faults;

import java.util.List;

/**
 * One fault of a round.
 *
 * @param atMs when, in milliseconds from the round's beginning
 * @param words the kind's arguments: a number, or the targets, each a member's name or a role that is looked up when the
 *     fault is injected (holder, leader, or other for neither of these)
 */
record FaultInjection(long atMs, FaultKind kind, List<String> words) {
    /**
     * Reads a fault's kind and arguments, as in {@code stall holder 900}.
     *
     * @throws IllegalArgumentException saying what is wrong with the text and what is allowed
     */
    static FaultInjection parse(long atMs, String text) {
        List<String> all = List.of(text.strip().split("\\s+"));
        String word = all.get(0);
        FaultKind kind = FaultKind.ofWord(word)
                .orElseThrow(() -> new IllegalArgumentException(
                        "'" + word + "' is no fault, allowed: " + String.join(", ", FaultKind.allWords())));
        List<String> arguments = all.subList(1, all.size());
        if (!kind.takes(arguments)) {
            throw new IllegalArgumentException(
                    "'" + text.strip() + "': allowed after " + word + ": " + kind.allowedArguments());
        }
        return new FaultInjection(atMs, kind, arguments);
    }

    /** The time and the fault's words, as fleet test --schedule prints them. */
    @Override
    public String toString() {
        String fault = atMs + " " + kind.word();
        return words.isEmpty() ? fault : fault + " " + String.join(" ", words);
    }
}
