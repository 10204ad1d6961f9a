package elderseam.control;

import java.util.List;

/** What a command is answered: yes or no, a word on it, and the lines that follow. */
public record Verdict(boolean yes, String word, List<String> lines) {
    public static Verdict yes(String word) {
        return new Verdict(true, word, List.of());
    }

    public static Verdict no(String why) {
        return new Verdict(false, why, List.of());
    }

    String encoded() {
        StringBuilder text =
                new StringBuilder(64).append(yes ? "200 " : "400 ").append(word).append('\n');
        lines.forEach(line -> text.append(line).append('\n'));
        return text.toString();
    }
}
