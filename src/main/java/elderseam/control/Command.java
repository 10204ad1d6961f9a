package elderseam.control;

/** What an operator asks, decoded from its one line. */
public sealed interface Command {
    record Ping() implements Command {}

    record Info() implements Command {}

    record Detach(String host) implements Command {}

    record Attach(String host) implements Command {}

    record LameDuck() implements Command {}

    record Rejoin() implements Command {}

    /** No command; {@code why}: what is wrong, and what is allowed. */
    record Fault(String why) implements Command {}

    /** The longest line, its end not counted. */
    int MOST = 256;

    /** The command of a line without its end. */
    static Command of(String line) {
        String[] words = line.strip().split("[ \t]+", -1);
        String id = words.length == 2 ? words[1] : null;
        if (id != null && !id.matches("[!-~]{1,200}")) {
            return new Fault("an id has 1 to 200 printable characters");
        }
        boolean alone = words.length == 1;
        return switch (words[0]) {
            case "PING" -> alone ? new Ping() : noWords("PING");
            case "INFO" -> alone ? new Info() : noWords("INFO");
            case "LAMEDUCK" -> alone ? new LameDuck() : noWords("LAMEDUCK");
            case "REJOIN" -> alone ? new Rejoin() : noWords("REJOIN");
            case "DETACH" -> id != null ? new Detach(id) : new Fault("DETACH takes one id");
            case "ATTACH" -> id != null ? new Attach(id) : new Fault("ATTACH takes one id");
            case "" -> new Fault("the line is empty; allowed: PING, INFO, DETACH ID, ATTACH ID, LAMEDUCK, REJOIN");
            default -> new Fault("unknown call; allowed: PING, INFO, DETACH ID, ATTACH ID, LAMEDUCK, REJOIN");
        };
    }

    private static Fault noWords(String name) {
        return new Fault(name + " takes no words");
    }
}
