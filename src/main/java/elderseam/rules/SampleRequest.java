package elderseam.rules;

import elderseam.core.RequestAttributes;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.time.OffsetDateTime;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * A request made up for an example or for {@code rules eval}: its text as on the wire, and how the dispatcher is to stand. A request for
 * {@code /events} is an event in binary mode; any other is one of the platform's, whose path names the class.
 */
public final class SampleRequest implements RequestAttributes, RuleEnvironment {
    /** What a sample's state may tell. */
    static final String STATE =
            "rate=NUMBER share=NUMBER breaker=closed|half_open|open in_flight=N wait=SECONDS held=N remaining=SECONDS";

    private final String method, path;
    private final Map<String, String> headers, attributes = new LinkedHashMap<>(), state = new LinkedHashMap<>();
    private final byte[] body;
    private Instant at = Instant.parse("2026-01-01T00:00:00Z");

    private SampleRequest(String method, String path, Map<String, String> headers, byte[] body) {
        this.method = method;
        this.path = path;
        this.headers = headers;
        this.body = body;
        headers.forEach((name, v) -> {
            if (name.startsWith("ce-")) {
                attributes.put(name.substring(3), v);
            }
        });
    }

    /** Of a request's first line, its header lines and its body; what is wrong with it is added to the faults. */
    static SampleRequest of(String first, List<String> headerLines, String body, List<String> faults) {
        String[] words = first.strip().split(" +");
        if (words.length < 2 || !words[0].matches("[A-Z]+") || !words[1].startsWith("/")) {
            faults.add("'" + first + "' is no first line of a request, allowed: such as POST /invoice");
            return new SampleRequest("POST", "/", Map.of(), new byte[0]);
        }
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String h : headerLines) {
            int colon = h.indexOf(':');
            if (colon < 1) {
                faults.add("'" + h + "' is no header, allowed: NAME: VALUE");
            } else {
                headers.putIfAbsent(
                        h.substring(0, colon).strip().toLowerCase(Locale.ROOT),
                        h.substring(colon + 1).strip());
            }
        }
        return new SampleRequest(words[0], words[1], headers, body.getBytes(StandardCharsets.UTF_8));
    }

    /** A request's text, lines ended by LF or CRLF, with an empty line before the body. */
    public static SampleRequest read(String text, List<String> faults) {
        String plain = text.replace("\r\n", "\n");
        int end = plain.indexOf("\n\n");
        List<String> head = new ArrayList<>(
                List.of((end < 0 ? plain : plain.substring(0, end)).strip().split("\n")));
        String body = end < 0 ? "" : plain.substring(end + 2);
        return of(
                head.get(0),
                head.subList(1, head.size()),
                body.endsWith("\n") ? body.substring(0, body.length() - 1) : body,
                faults);
    }

    /** Words such as rate=3.5, apart by spaces. */
    public void state(String words, List<String> faults) {
        for (String w : words.isBlank() ? new String[0] : words.strip().split("\\s+")) {
            if (w.matches(
                    "(rate|share|wait|remaining)=\\d{1,9}(\\.\\d{1,9})?|(in_flight|held)=\\d{1,9}|breaker=(closed|half_open|open)")) {
                state.put(w.substring(0, w.indexOf('=')), w.substring(w.indexOf('=') + 1));
            } else {
                faults.add("'" + w + "' is no state, allowed: " + STATE);
            }
        }
    }

    /** The time, such as 2026-12-31T08:00:00Z. */
    public void at(String time, List<String> faults) {
        try {
            at = OffsetDateTime.parse(time.strip()).toInstant();
        } catch (java.time.DateTimeException e) {
            faults.add("'" + time + "' is no time, allowed: such as 2026-12-31T08:00:00Z");
        }
    }

    /** What a rulebook makes of it. Limits are not charged. */
    void decide(Rulebook book, KnownNames names, RuleResult into) {
        boolean event = frontend().equals("events");
        String dest = event ? header("ce-destination") : header("x-addressing").replace("dest=", "");
        String id = event ? header("ce-source") + header("ce-id") : header("x-txn");
        book.decide(
                id,
                names.cls(event ? header("ce-type") : path.substring(1)),
                names.tenant(header(event ? "ce-tenant" : "x-org")),
                dest.matches("\\d{1,18}") ? Long.parseLong(dest) : 0,
                (long) (number("remaining", 10) * 1e9),
                headers.containsKey("x-resent"),
                header("idempotency-key"),
                this,
                this,
                0,
                at.toEpochMilli(),
                into);
    }

    private String header(String name) {
        return headers.getOrDefault(name, "");
    }

    private double number(String name, double absent) {
        return Double.parseDouble(state.getOrDefault(name, Double.toString(absent)));
    }

    @Override
    public String frontend() {
        return path.equals("/events") ? "events" : "platform";
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

    @Override
    public Breaker breaker(long destination) {
        return switch (state.getOrDefault("breaker", "closed")) { // the words that state() lets pass
            case "open" -> Breaker.OPEN;
            case "half_open" -> Breaker.HALF_OPEN;
            default -> Breaker.CLOSED;
        };
    }

    @Override
    public long waitNs(long destination) {
        return (long) (number("wait", 0) * 1e9);
    }

    @Override
    public int inFlight(long destination) {
        return (int) number("in_flight", 0);
    }

    @Override
    public int held() {
        return (int) number("held", 0);
    }

    @Override
    public double share(int tenant) {
        return number("share", 0);
    }

    @Override
    public double rate(int tenant) { // there is no history
        return number("rate", 0);
    }
}
