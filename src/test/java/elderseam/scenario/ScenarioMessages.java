package elderseam.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import java.util.Locale;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;

/** Messages as the words of a scenario's steps write them, and the checks of what has come. */
final class ScenarioMessages {
    private static final Pattern INSTANT = Pattern.compile("\\{in (\\d+)}");
    private static final String LONG_BODY = "x".repeat(64 << 10);

    private ScenarioMessages() {}

    /** Plain bytes, in which {@code \r\n} and {@code {64K}} are written in words. */
    static String rawBytes(String words) {
        return withLongBody(words.replace("\\r\\n", "\r\n"));
    }

    /** A response: {@code CODE; Header: value; ... | body}. */
    static String response(String words) {
        String[] headAndBody = words.split("\\|", 2);
        String[] head = headAndBody[0].split(";");
        String body = headAndBody.length > 1 ? headAndBody[1].strip() : "";
        return RawHttpSocket.answer(Integer.parseInt(head[0].strip()), headerLines(head), body);
    }

    /** A request: {@code METHOD PATH; Header: value; ... | body}. */
    static String request(String words) {
        String[] headAndBody = withInstants(words).split("\\|", 2);
        String[] head = headAndBody[0].split(";");
        String body = headAndBody.length > 1 ? withLongBody(headAndBody[1].strip()) : "";
        return head[0].strip() + " HTTP/1.1\r\nHost: api.internal\r\n" + headerLines(head) + "Content-Length: "
                + body.length() + "\r\n\r\n" + body;
    }

    /** The header lines of a message, whose first part is its start line. */
    private static String headerLines(String[] head) {
        StringBuilder lines = new StringBuilder();
        for (int i = 1; i < head.length; i++) {
            lines.append(head[i].strip()).append("\r\n");
        }
        return lines.toString();
    }

    private static String withLongBody(String words) {
        return words.replace("{64K}", LONG_BODY);
    }

    /** Replaces each {@code {in N}} by the instant N ms from now. */
    private static String withInstants(String words) {
        return INSTANT.matcher(words)
                .replaceAll(match ->
                        Instant.now().plusMillis(Long.parseLong(match.group(1))).toString());
    }

    /** Asserts that a message came and holds each of these parts, which are set apart by semicolons, in any case. */
    static void assertContains(String message, String parts) {
        assertNotNull(message, "nothing came");
        String lowerCase = message.toLowerCase(Locale.ROOT);
        for (String part : parts.split(";")) {
            String expected = part.strip();
            assertTrue(lowerCase.contains(expected.toLowerCase(Locale.ROOT)), "no '" + expected + "' in " + message);
        }
    }

    /** Asserts that nothing comes into the queue: {@code quiet MS}. */
    static void assertQuiet(BlockingQueue<?> queue, String words) throws InterruptedException {
        int milliseconds = Integer.parseInt(words.replace("quiet ", ""));
        assertEquals(null, queue.poll(milliseconds, TimeUnit.MILLISECONDS), "something came");
    }
}
