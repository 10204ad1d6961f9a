package elderseam.control;

import java.util.List;

/** What a command is answered: yes or no, a word on it, and the lines that follow. */
public record CommandResult(boolean yes, String word, List<String> lines) {
    public static CommandResult yes(String word) {
        return new CommandResult(true, word, List.of());
    }

    public static CommandResult no(String why) {
        return new CommandResult(false, why, List.of());
    }

    String encoded() {
        StringBuilder text =
                new StringBuilder(64).append(yes ? "200 " : "400 ").append(word).append('\n');
        lines.forEach(line -> text.append(line).append('\n'));
        return text.toString();
    }
}
