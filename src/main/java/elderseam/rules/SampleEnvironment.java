package elderseam.rules;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

/** The dispatcher's state for a {@link SampleRequest}, the same for every destination and tenant. Not thread-safe. */
final class SampleEnvironment implements RuleEnvironment {
    private static final String USAGE =
            "rate=NUMBER share=NUMBER breaker=closed|half_open|open in_flight=N wait=SECONDS held=N remaining=SECONDS";
    private static final Pattern WORD = Pattern.compile("(rate|share|wait|remaining)=\\d{1,9}(\\.\\d{1,9})?"
            + "|(in_flight|held)=\\d{1,9}|breaker=(closed|half_open|open)");
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double DEFAULT_REMAINING_SECONDS = 10;

    private final Map<String, String> values = new HashMap<>();

    /** Sets values such as {@code rate=3.5}, separated by white space; what is wrong is added to the faults. */
    void set(String words, List<String> faults) {
        if (words.isBlank()) {
            return;
        }
        for (String word : words.strip().split("\\s+")) {
            if (!WORD.matcher(word).matches()) {
                faults.add("'" + word + "' is no state, allowed: " + USAGE);
                continue;
            }
            int equals = word.indexOf('=');
            values.put(word.substring(0, equals), word.substring(equals + 1));
        }
    }

    private double number(String name, double absent) {
        String text = values.get(name);
        return text == null ? absent : Double.parseDouble(text);
    }

    /** What remains of the request's deadline. */
    long remainingNs() {
        return (long) (number("remaining", DEFAULT_REMAINING_SECONDS) * NANOS_PER_SECOND);
    }

    @Override
    public Breaker breaker(long destination) {
        return switch (values.getOrDefault("breaker", "closed")) { // no other words pass the pattern
            case "open" -> Breaker.OPEN;
            case "half_open" -> Breaker.HALF_OPEN;
            default -> Breaker.CLOSED;
        };
    }

    @Override
    public long retryAfterNs(long destination) {
        return (long) (number("wait", 0) * NANOS_PER_SECOND);
    }

    @Override
    public int attemptsInFlight(long destination) {
        return (int) number("in_flight", 0);
    }

    @Override
    public int requestsHeld() {
        return (int) number("held", 0);
    }

    @Override
    public double tenantRate(int tenantIndex) {
        return number("rate", 0);
    }

    @Override
    public double tenantQuota(int tenantIndex) {
        return number("share", 0);
    }
}
