package elderseam.control;

import elderseam.control.OperatorCommand.ConfigDiff;
import elderseam.control.OperatorCommand.ConfigPropose;
import elderseam.control.OperatorCommand.ConfigRollback;
import elderseam.control.OperatorCommand.ConfigStatus;
import elderseam.control.OperatorCommand.Malformed;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;

/** Decodes the line of an operator's command. */
final class OperatorCommandParser {
    /** The longest line in bytes, without its end. */
    static final int MAX_LINE_BYTES = 256;

    private static final String WHITE_SPACE = "[ \t]+";
    private static final String ENDPOINT_ID = "[!-~]{1,200}";
    private static final String MEMBER = "[A-Za-z0-9._-]{1,64}=[0-9.]{7,15}:\\d{1,5}";
    private static final int MAX_PORT = 65_535;
    private static final String VERSION_NUMBER = "\\d{1,18}";
    private static final String SHORT_HASH = "[0-9a-f]{12}";

    /** The verb, PARENT, HASH, FILE and the note, which is the rest of the line. */
    private static final int MAX_CONFIG_WORDS = 5;

    private static final String ALLOWED = "allowed: PING, INFO, DETACH ID, ATTACH ID, LAMEDUCK, REJOIN, FLEET, CONFIG";

    private OperatorCommandParser() {}

    /** The command of a line without its end; {@link Malformed} where there is none. */
    static OperatorCommand parse(String line) {
        String stripped = line.strip();
        String[] words = stripped.split(WHITE_SPACE, -1);
        if (words.length == 2 && !words[1].matches(ENDPOINT_ID)) {
            return new Malformed("an id has 1 to 200 printable characters");
        }
        return switch (words[0]) {
            case "PING" -> withoutArguments(words, new OperatorCommand.Ping());
            case "INFO" -> withoutArguments(words, new OperatorCommand.Info());
            case "LAMEDUCK" -> withoutArguments(words, new OperatorCommand.LameDuck());
            case "REJOIN" -> withoutArguments(words, new OperatorCommand.Rejoin());
            case "DETACH" -> words.length == 2 ? new OperatorCommand.Detach(words[1]) : needsId("DETACH");
            case "ATTACH" -> words.length == 2 ? new OperatorCommand.Attach(words[1]) : needsId("ATTACH");
            case "FLEET" -> parseFleet(Arrays.copyOfRange(words, 1, words.length));
            case "CONFIG" -> parseConfig(stripped.substring("CONFIG".length()).strip());
            case "" -> new Malformed("the line is empty; " + ALLOWED);
            default -> new Malformed("unknown call; " + ALLOWED);
        };
    }

    private static OperatorCommand withoutArguments(String[] words, OperatorCommand command) {
        return words.length == 1 ? command : new Malformed(words[0] + " takes no words");
    }

    private static Malformed needsId(String verb) {
        return new Malformed(verb + " takes one id");
    }

    private static OperatorCommand parseFleet(String[] words) {
        Map<String, InetSocketAddress> members = new LinkedHashMap<>();
        for (String word : words) {
            int colon = word.lastIndexOf(':');
            if (!word.matches(MEMBER) || Integer.parseInt(word.substring(colon + 1)) > MAX_PORT) {
                return new Malformed("'" + word + "' is no member, allowed: NAME=ADDRESS:PORT");
            }
            int equals = word.indexOf('=');
            String address = word.substring(equals + 1, colon);
            int port = Integer.parseInt(word.substring(colon + 1));
            members.put(word.substring(0, equals), InetSocketAddress.createUnresolved(address, port));
        }
        return new OperatorCommand.Fleet(members);
    }

    private static OperatorCommand parseConfig(String arguments) {
        if (arguments.isEmpty()) {
            return new ConfigStatus();
        }
        String[] words = arguments.split(WHITE_SPACE, MAX_CONFIG_WORDS);
        if (isDiff(words)) {
            return new ConfigDiff(Long.parseLong(words[1]), Long.parseLong(words[2]));
        }
        if (isProposal(words)) {
            return new ConfigPropose(Long.parseLong(words[1]), words[2], words[3], words[4]);
        }
        if (isRollback(words)) {
            int noteFrom = arguments.indexOf(words[1]) + words[1].length();
            String note = arguments.substring(noteFrom).strip();
            return new ConfigRollback(Long.parseLong(words[1]), note);
        }
        return new Malformed(
                "allowed: CONFIG, CONFIG DIFF A B, CONFIG PROPOSE PARENT HASH /FILE NOTE, CONFIG ROLLBACK VERSION NOTE");
    }

    private static boolean isDiff(String[] words) {
        return words[0].equals("DIFF")
                && words.length == 3
                && words[1].matches(VERSION_NUMBER)
                && words[2].matches(VERSION_NUMBER);
    }

    private static boolean isProposal(String[] words) {
        return words[0].equals("PROPOSE")
                && words.length == MAX_CONFIG_WORDS
                && words[1].matches(VERSION_NUMBER)
                && words[2].matches(SHORT_HASH)
                && words[3].startsWith("/");
    }

    private static boolean isRollback(String[] words) {
        return words[0].equals("ROLLBACK") && words.length >= 3 && words[1].matches(VERSION_NUMBER);
    }
}
