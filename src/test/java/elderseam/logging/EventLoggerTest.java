package elderseam.logging;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import elderseam.testkit.LogLine;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Isolated;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The form of a line in the log: what a reader gets back is what was logged. No other class may log meanwhile. */
@Isolated
class EventLoggerTest {
    private static String text(LogField field) {
        StringBuilder line = new StringBuilder();
        field.appendTo(line);
        return line.toString();
    }

    private static String logged(Runnable logging) {
        PrintStream standardError = System.err;
        ByteArrayOutputStream lines = new ByteArrayOutputStream();
        System.setErr(new PrintStream(lines, true, StandardCharsets.UTF_8));
        try {
            logging.run();
        } finally {
            System.setErr(standardError);
        }
        return lines.toString(StandardCharsets.UTF_8);
    }

    @Test
    void aPlainValueStandsWithoutQuotes() {
        assertEquals("requests=12", text(LogField.field("requests", 12)));
        assertEquals("version=a1b2/c-3.4:5", text(LogField.field("version", "a1b2/c-3.4:5")));
    }

    @Test
    void anAddressIsHostAndPort() throws IOException {
        InetAddress loopback = InetAddress.getByAddress("localhost", new byte[] {127, 0, 0, 1});
        assertEquals("address=127.0.0.1:80", text(LogField.field("address", new InetSocketAddress(loopback, 80))));
        byte[] loopbackBytes = new byte[16];
        loopbackBytes[15] = 1;
        InetAddress loopback6 = InetAddress.getByAddress("localhost", loopbackBytes);
        assertEquals(
                "address=[0:0:0:0:0:0:0:1]:80", text(LogField.field("address", new InetSocketAddress(loopback6, 80))));
    }

    @Test
    void anExceptionIsItsClassAndMessageOnOneLine() {
        assertEquals(
                "error=\"java.io.IOException: first\\nsecond\"",
                text(LogField.error(new IOException("first\nsecond"))));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "two words", "a=b", "\"", "back\\slash", "first\nsecond\r", "{}", "ö"})
    void everyValueIsReadBackFromOneLine(String value) {
        EventLogger logger = EventLogger.of(EventLoggerTest.class);
        String line = logged(
                () -> logger.warn("test.happened", LogField.field("value", value), LogField.field("after_ms", 7)));
        assertTrue(line.endsWith("\n") && line.indexOf('\n') == line.length() - 1, line);
        Optional<LogLine> read = LogLine.parse(line.strip());
        assertEquals("WARN", read.orElseThrow().level());
        assertEquals("test.happened", read.orElseThrow().event());
        assertEquals(Map.of("value", value, "after_ms", "7"), read.orElseThrow().fields());
    }

    @Test
    void theLevelComesFirstAndAnEventMayHaveNoFields() {
        EventLogger logger = EventLogger.of(EventLoggerTest.class);
        assertEquals("INFO test.happened\n", logged(() -> logger.info("test.happened")));
        assertEquals("ERROR test.happened\n", logged(() -> logger.error("test.happened")));
    }

    @Test
    void aStackTraceFollowsItsLine() {
        EventLogger logger = EventLogger.of(EventLoggerTest.class);
        String[] lines = logged(() -> logger.error("test.failed", new IllegalStateException("why")))
                .split("\n");
        assertEquals("ERROR test.failed error=\"java.lang.IllegalStateException: why\"", lines[0]);
        assertEquals("java.lang.IllegalStateException: why", lines[1]);
        assertTrue(lines[2].startsWith("\tat elderseam.logging.EventLoggerTest"), lines[2]);
    }

    @Test
    void theConsensusEngineIsKeptAtWarn() {
        assertEquals(
                "org.slf4j.simple.SimpleLoggerFactory",
                LoggerFactory.getILoggerFactory().getClass().getName());
        Logger engine = LoggerFactory.getLogger("org.apache.ratis.server.RaftServer");
        assertTrue(engine.isWarnEnabled() && !engine.isInfoEnabled());
    }

    @ParameterizedTest
    @ValueSource(strings = {"draining", "INFO two words", "INFO test.happened value", "INFO test.happened a=b c", "x"})
    void whatIsNoEventIsNotReadAsOne(String line) {
        assertEquals(Optional.empty(), LogLine.parse(line));
    }
}
