package elderseam.control;

import static org.junit.jupiter.api.Assertions.assertEquals;

import elderseam.control.OperatorCommand.Malformed;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class OperatorCommandParserTest {
    private static final String ALL_COMMANDS =
            "allowed: PING, INFO, DETACH ID, ATTACH ID, LAMEDUCK, REJOIN, FLEET, CONFIG";
    private static final String CONFIG_COMMANDS =
            "allowed: CONFIG, CONFIG DIFF A B, CONFIG PROPOSE PARENT HASH /FILE NOTE, CONFIG ROLLBACK VERSION NOTE";

    @Test
    void wordsAreSeparatedByAnyWhiteSpace() {
        assertEquals(new OperatorCommand.Ping(), OperatorCommandParser.parse(" PING\r"));
        assertEquals(new OperatorCommand.Detach("s1"), OperatorCommandParser.parse("DETACH \t s1"));
        assertEquals(new OperatorCommand.Attach("s1"), OperatorCommandParser.parse("ATTACH s1"));
    }

    @Test
    void fleetNamesMembersWithTheirUnresolvedAddresses() {
        assertEquals(new OperatorCommand.Fleet(Map.of()), OperatorCommandParser.parse("FLEET"));
        Map<String, InetSocketAddress> members = Map.of(
                "n1", InetSocketAddress.createUnresolved("10.0.0.1", 7001),
                "n-2", InetSocketAddress.createUnresolved("10.0.0.2", 65_535));
        assertEquals(
                new OperatorCommand.Fleet(members),
                OperatorCommandParser.parse("FLEET n1=10.0.0.1:7001 n-2=10.0.0.2:65535"));
    }

    @Test
    void configCommandsAreTyped() {
        assertEquals(new OperatorCommand.ConfigStatus(), OperatorCommandParser.parse("CONFIG"));
        assertEquals(new OperatorCommand.ConfigDiff(3, 12), OperatorCommandParser.parse("CONFIG DIFF 3 12"));
        assertEquals(
                new OperatorCommand.ConfigPropose(4, "0123456789ab", "/etc/a.ini", "a longer  note"),
                OperatorCommandParser.parse("CONFIG PROPOSE 4 0123456789ab /etc/a.ini a longer  note"));
        assertEquals(
                new OperatorCommand.ConfigRollback(4, "a longer  note"),
                OperatorCommandParser.parse("CONFIG ROLLBACK 4  a longer  note"));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "PING now|PING takes no words",
                "LAMEDUCK a b|LAMEDUCK takes no words",
                "DETACH|DETACH takes one id",
                "ATTACH a b|ATTACH takes one id",
                "DETACH é|an id has 1 to 200 printable characters",
                "FLEET n1|'n1' is no member, allowed: NAME=ADDRESS:PORT",
                "FLEET n1=10.0.0.1:65536|'n1=10.0.0.1:65536' is no member, allowed: NAME=ADDRESS:PORT"
            })
    void aMalformedLineIsExplained(String line, String reason) {
        assertEquals(new Malformed(reason), OperatorCommandParser.parse(line));
    }

    @Test
    void anUnknownCommandIsAnsweredWithAllThereAre() {
        assertEquals(new Malformed("the line is empty; " + ALL_COMMANDS), OperatorCommandParser.parse("  "));
        assertEquals(new Malformed("unknown call; " + ALL_COMMANDS), OperatorCommandParser.parse("ping"));
        List<String> malformed = List.of(
                "CONFIG DIFF 1",
                "CONFIG DIFF 1 x",
                "CONFIG PROPOSE 1 0123456789ab relative note",
                "CONFIG PROPOSE 1 0123456789AB /a note",
                "CONFIG PROPOSE 1 0123456789ab /a",
                "CONFIG ROLLBACK 1",
                "CONFIG ROLLBACK x note");
        for (String line : malformed) {
            assertEquals(new Malformed(CONFIG_COMMANDS), OperatorCommandParser.parse(line), line);
        }
    }
}
