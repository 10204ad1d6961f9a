package elderseam.control;

import java.util.List;

/**
 * The response to an operator's command.
 *
 * @param accepted whether the command was carried out, or what it starts was begun
 * @param message the rest of the first line: a word on the result, or why the command was rejected
 * @param lines the lines that follow the first, without their ends
 */
public record CommandResult(boolean accepted, String message, List<String> lines) {
    private static final String ACCEPTED_STATUS = "200 ";
    private static final String REJECTED_STATUS = "400 ";
    private static final int EXPECTED_LENGTH = 64;

    /** A command that was carried out, with no lines to follow. */
    public static CommandResult accepted(String message) {
        return new CommandResult(true, message, List.of());
    }

    /** A command that was carried out, and what it shows. */
    public static CommandResult accepted(String message, List<String> lines) {
        return new CommandResult(true, message, lines);
    }

    /** A command that was not carried out. */
    public static CommandResult rejected(String reason) {
        return new CommandResult(false, reason, List.of());
    }

    /** The response as it is sent. */
    String encoded() {
        StringBuilder text = new StringBuilder(EXPECTED_LENGTH)
                .append(accepted ? ACCEPTED_STATUS : REJECTED_STATUS)
                .append(message)
                .append('\n');
        lines.forEach(line -> text.append(line).append('\n'));
        return text.toString();
    }
}
