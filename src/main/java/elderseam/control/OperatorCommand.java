package elderseam.control;

import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;

/** What an operator asks, decoded from its one line. */
public sealed interface OperatorCommand {
    record Ping() implements OperatorCommand {}

    record Info() implements OperatorCommand {}

    record Detach(String host) implements OperatorCommand {}

    record Attach(String host) implements OperatorCommand {}

    record LameDuck() implements OperatorCommand {}

    record Rejoin() implements OperatorCommand {}

    /** The fleet's leases; {@code members}: which members the group is to have, by name, or none told where it is only asked about. */
    record Fleet(Map<String, InetSocketAddress> members) implements OperatorCommand {}

    /**
     * Versions of what the fleet agrees on; {@code a} and {@code b} are numbers, {@code path} a file on this machine and {@code hash} the
     * first twelve digits of what whoever proposes it read there.
     */
    record Config(Verb verb, long a, long b, String hash, String path, String note) implements OperatorCommand {
        public enum Verb {
            STATUS,
            DIFF,
            PROPOSE,
            ROLLBACK
        }
    }

    /** No command; {@code why}: what is wrong, and what is allowed. */
    record Fault(String why) implements OperatorCommand {}

    /** The longest line, its end not counted. */
    int MOST = 256;

    /** The command of a line without its end. */
    static OperatorCommand of(String line) {
        String[] words = line.strip().split("[ \t]+", -1);
        String id = words.length == 2 ? words[1] : null;
        if (id != null && !id.matches("[!-~]{1,200}")) {
            return new Fault("an id has 1 to 200 printable characters");
        }
        if (words[0].equals("CONFIG")) {
            return config(line.strip().substring("CONFIG".length()).strip());
        }
        if (words[0].equals("FLEET")) {
            return fleet(Arrays.copyOfRange(words, 1, words.length));
        }
        boolean alone = words.length == 1;
        return switch (words[0]) {
            case "PING" -> alone ? new Ping() : noWords("PING");
            case "INFO" -> alone ? new Info() : noWords("INFO");
            case "LAMEDUCK" -> alone ? new LameDuck() : noWords("LAMEDUCK");
            case "REJOIN" -> alone ? new Rejoin() : noWords("REJOIN");
            case "DETACH" -> id != null ? new Detach(id) : new Fault("DETACH takes one id");
            case "ATTACH" -> id != null ? new Attach(id) : new Fault("ATTACH takes one id");
            case "" ->
                new Fault(
                        "the line is empty; allowed: PING, INFO, DETACH ID, ATTACH ID, LAMEDUCK, REJOIN, FLEET, CONFIG");
            default ->
                new Fault("unknown call; allowed: PING, INFO, DETACH ID, ATTACH ID, LAMEDUCK, REJOIN, FLEET, CONFIG");
        };
    }

    private static OperatorCommand fleet(String[] words) {
        Map<String, InetSocketAddress> members = new LinkedHashMap<>();
        for (String word : words) {
            if (!word.matches("[A-Za-z0-9._-]{1,64}=[0-9.]{7,15}:\\d{1,5}")
                    || Integer.parseInt(word.substring(word.lastIndexOf(':') + 1)) > 65_535) {
                return new Fault("'" + word + "' is no member, allowed: NAME=ADDRESS:PORT");
            }
            String address = word.substring(word.indexOf('=') + 1);
            int colon = address.lastIndexOf(':');
            members.put(
                    word.substring(0, word.indexOf('=')),
                    InetSocketAddress.createUnresolved(
                            address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))));
        }
        return new Fleet(members);
    }

    private static OperatorCommand config(String rest) {
        String[] w = rest.split("[ \t]+", 5);
        String number = "\\d{1,18}";
        if (rest.isEmpty()) {
            return new Config(Config.Verb.STATUS, 0, 0, "", "", "");
        } else if (w[0].equals("DIFF") && w.length == 3 && w[1].matches(number) && w[2].matches(number)) {
            return new Config(Config.Verb.DIFF, Long.parseLong(w[1]), Long.parseLong(w[2]), "", "", "");
        } else if (w[0].equals("PROPOSE")
                && w.length == 5
                && w[1].matches(number)
                && w[2].matches("[0-9a-f]{12}")
                && w[3].startsWith("/")) {
            return new Config(Config.Verb.PROPOSE, Long.parseLong(w[1]), 0, w[2], w[3], w[4]);
        } else if (w[0].equals("ROLLBACK") && w.length >= 3 && w[1].matches(number)) {
            return new Config(
                    Config.Verb.ROLLBACK,
                    Long.parseLong(w[1]),
                    0,
                    "",
                    "",
                    rest.substring(rest.indexOf(w[1]) + w[1].length()).strip());
        }
        return new Fault(
                "allowed: CONFIG, CONFIG DIFF A B, CONFIG PROPOSE PARENT HASH /FILE NOTE, CONFIG ROLLBACK VERSION NOTE");
    }

    private static Fault noWords(String name) {
        return new Fault(name + " takes no words");
    }
}
