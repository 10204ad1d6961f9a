package elderseam.rules;

import elderseam.core.ActiveRequest;
import elderseam.core.RequestAttributes;
import java.nio.charset.StandardCharsets;
import java.time.DateTimeException;
import java.time.Instant;
import java.time.OffsetDateTime;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * A request for an example or for {@code rules eval}, given as its text on the wire, with the state of the dispatcher
 * and the time at which it arrives. A request for {@code /events} is an event in binary mode; any other is one of the
 * platform's, whose path names the class. Not thread-safe.
 */
public final class SampleRequest implements RequestAttributes {
    private static final String EVENTS_PATH = "/events";
    private static final String EVENT_ATTRIBUTE_PREFIX = "ce-";
    private static final Instant DEFAULT_TIME = Instant.parse("2026-01-01T00:00:00Z");

    private final String method;
    private final String path;
    private final Map<String, String> headers;
    private final Map<String, String> attributes = new LinkedHashMap<>();
    private final byte[] body;
    private final SampleEnvironment environment = new SampleEnvironment();
    private Instant time = DEFAULT_TIME;

    private SampleRequest(String method, String path, Map<String, String> headers, byte[] body) {
        this.method = method;
        this.path = path;
        this.headers = headers;
        this.body = body;
        headers.forEach((name, value) -> {
            if (name.startsWith(EVENT_ATTRIBUTE_PREFIX)) {
                attributes.put(name.substring(EVENT_ATTRIBUTE_PREFIX.length()), value);
            }
        });
    }

    /**
     * Reads a request's text: lines that end with LF or CRLF, and an empty line before the body.
     *
     * @param faults what is wrong with the text is added; the result is then meaningless
     */
    public static SampleRequest parse(String text, List<String> faults) {
        String normalized = text.replace("\r\n", "\n");
        int headEnd = normalized.indexOf("\n\n");
        String head = headEnd < 0 ? normalized : normalized.substring(0, headEnd);
        String body = headEnd < 0 ? "" : normalized.substring(headEnd + 2);
        if (body.endsWith("\n")) {
            body = body.substring(0, body.length() - 1);
        }
        List<String> lines = List.of(head.strip().split("\n"));
        return of(lines.get(0), lines.subList(1, lines.size()), body, faults);
    }

    /** A request of its parts; what is wrong with them is added to the faults. */
    static SampleRequest of(String requestLine, List<String> headerLines, String body, List<String> faults) {
        String[] words = requestLine.strip().split(" +");
        if (words.length < 2 || !words[0].matches("[A-Z]+") || !words[1].startsWith("/")) {
            faults.add("'" + requestLine + "' is no first line of a request, allowed: such as POST /invoice");
            return new SampleRequest("POST", "/", Map.of(), new byte[0]);
        }
        Map<String, String> headers = parseHeaders(headerLines, faults);
        return new SampleRequest(words[0], words[1], headers, body.getBytes(StandardCharsets.UTF_8));
    }

    private static Map<String, String> parseHeaders(List<String> lines, List<String> faults) {
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String line : lines) {
            int colon = line.indexOf(':');
            if (colon < 1) {
                faults.add("'" + line + "' is no header, allowed: NAME: VALUE");
                continue;
            }
            String name = line.substring(0, colon).strip().toLowerCase(Locale.ROOT);
            headers.putIfAbsent(name, line.substring(colon + 1).strip());
        }
        return headers;
    }

    /**
     * Sets the dispatcher's state.
     *
     * @param words such as {@code rate=3.5}, separated by white space; what is wrong with them is added to the faults
     */
    public void setState(String words, List<String> faults) {
        environment.set(words, faults);
    }

    /** Sets the time, such as 2026-12-31T08:00:00Z; what is wrong with it is added to the faults. */
    public void setTime(String text, List<String> faults) {
        try {
            time = OffsetDateTime.parse(text.strip()).toInstant();
        } catch (DateTimeException e) {
            faults.add("'" + text + "' is no time, allowed: such as 2026-12-31T08:00:00Z");
        }
    }

    /** Applies rules to the request. Limits are not charged. */
    void decide(Rulebook rulebook, KnownNames names, RuleResult result) {
        rulebook.decide(message(names), this, environment, 0, time.toEpochMilli(), result);
    }

    /** The message that the front end would make of the request, at the instant 0 of the dispatcher's clock. */
    ActiveRequest.Message message(KnownNames names) {
        boolean event = isEvent();
        String id = event ? header("ce-source") + header("ce-id") : header("x-txn");
        String className = event ? header("ce-type") : path.substring(1);
        String tenant = header(event ? "ce-tenant" : "x-org");
        String destination =
                event ? header("ce-destination") : header("x-addressing").replace("dest=", "");
        return new ActiveRequest.Message(
                id,
                (byte) 0,
                names.classIndex(className),
                names.tenantIndex(tenant),
                destination.matches("\\d{1,18}") ? Long.parseLong(destination) : 0,
                environment.remainingNs(),
                0,
                headers.containsKey("x-resent"),
                true,
                header("idempotency-key"),
                body);
    }

    RuleEnvironment environment() {
        return environment;
    }

    private boolean isEvent() {
        return path.equals(EVENTS_PATH);
    }

    private String header(String name) {
        return headers.getOrDefault(name, "");
    }

    @Override
    public String frontend() {
        return isEvent() ? "events" : "platform";
    }

    @Override
    public String method() {
        return method;
    }

    @Override
    public String path() {
        return path;
    }

    @Override
    public Map<String, String> headers() {
        return headers;
    }

    @Override
    public String clientAddress() {
        return "127.0.0.1";
    }

    @Override
    public Map<String, String> eventAttributes() {
        return attributes;
    }

    @Override
    public byte[] body() {
        return body;
    }
}
