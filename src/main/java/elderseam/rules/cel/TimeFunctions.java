package elderseam.rules.cel;

import java.math.BigDecimal;
import java.math.BigInteger;
import java.time.DateTimeException;
import java.time.Duration;
import java.time.Instant;
import java.time.OffsetDateTime;
import java.time.ZoneId;
import java.time.ZonedDateTime;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reading, ranges and parts of timestamps and durations, by the CEL specification's "Timestamps" and "Durations". */
final class TimeFunctions {
    private static final Pattern DURATION =
            Pattern.compile("[-+]?((\\d{1,18}(\\.\\d{0,9})?|\\.\\d{1,9})(h|ms|us|µs|ns|m|s))+");
    private static final Pattern DURATION_PART = Pattern.compile("(\\d*(?:\\.\\d*)?)(h|ms|us|µs|ns|m|s)");
    private static final Map<String, Long> UNIT_NANOS = Map.ofEntries(
            Map.entry("h", 3_600_000_000_000L),
            Map.entry("m", 60_000_000_000L),
            Map.entry("s", 1_000_000_000L),
            Map.entry("ms", 1_000_000L),
            Map.entry("us", 1_000L),
            Map.entry("µs", 1_000L),
            Map.entry("ns", 1L));
    private static final BigInteger NANOS_PER_SECOND = BigInteger.valueOf(1_000_000_000);
    private static final long NANOS_PER_MILLISECOND = 1_000_000;
    /** Some 10,000 years. */
    private static final long MAX_DURATION_SECONDS = 315_576_000_000L;

    private static final BigDecimal MAX_DURATION_NANOS = BigDecimal.valueOf(MAX_DURATION_SECONDS, -9);
    private static final Instant FIRST_TIMESTAMP = Instant.parse("0001-01-01T00:00:00Z");
    private static final Instant LAST_TIMESTAMP = Instant.parse("9999-12-31T23:59:59.999999999Z");

    private TimeFunctions() {}

    /** A timestamp in the form of RFC 3339, or an error if it is out of range. Throws a {@link DateTimeException} for other forms. */
    static Object timestamp(String text) {
        return checkRange(OffsetDateTime.parse(text).toInstant());
    }

    /** The timestamp, or an error if it isn't in the years 1 to 9999. */
    static Object checkRange(Instant timestamp) {
        boolean isInRange = !timestamp.isBefore(FIRST_TIMESTAMP) && !timestamp.isAfter(LAST_TIMESTAMP);
        return isInRange ? timestamp : EvaluationError.OUT_OF_RANGE;
    }

    /** The duration, or an error if it is too long, forwards or backwards. */
    static Object checkRange(Duration duration) {
        return Math.abs(duration.toSeconds()) > MAX_DURATION_SECONDS ? EvaluationError.OUT_OF_RANGE : duration;
    }

    /** A duration such as 1h30m or -0.5s; empty for another text, or one that is too long. */
    static Optional<Duration> duration(String text) {
        if (!DURATION.matcher(text).matches()) {
            return Optional.empty();
        }
        BigDecimal nanos = BigDecimal.ZERO;
        Matcher part = DURATION_PART.matcher(text);
        while (part.find()) {
            String count = part.group(1).endsWith(".") ? part.group(1) + "0" : part.group(1);
            BigDecimal unitNanos = BigDecimal.valueOf(UNIT_NANOS.get(part.group(2)));
            nanos = nanos.add(new BigDecimal(count).multiply(unitNanos));
        }
        if (nanos.compareTo(MAX_DURATION_NANOS) > 0) {
            return Optional.empty();
        }
        BigInteger wholeNanos = (text.startsWith("-") ? nanos.negate() : nanos).toBigInteger();
        BigInteger[] secondsAndNanos = wholeNanos.divideAndRemainder(NANOS_PER_SECOND);
        return Optional.of(Duration.ofSeconds(secondsAndNanos[0].longValue(), secondsAndNanos[1].longValue()));
    }

    /** A part of a duration, or of a timestamp in the time zone of the second argument, by default UTC. */
    static Object access(String function, Object[] arguments) {
        boolean hasZone = arguments.length == 2;
        if (arguments[0] instanceof Duration duration && !hasZone) {
            return part(function, duration);
        }
        if (!(arguments[0] instanceof Instant timestamp) || (hasZone && !(arguments[1] instanceof String))) {
            return EvaluationError.NO_SUCH_OVERLOAD;
        }
        try {
            ZoneId zone = ZoneId.of(hasZone ? (String) arguments[1] : "UTC");
            return part(function, timestamp.atZone(zone));
        } catch (DateTimeException e) {
            return new EvaluationError("no such time zone");
        }
    }

    private static Object part(String function, Duration duration) {
        return switch (function) {
            case "getHours" -> duration.toHours();
            case "getMinutes" -> duration.toMinutes();
            case "getSeconds" -> duration.toSeconds();
            case "getMilliseconds" -> (long) duration.toMillisPart();
            default -> EvaluationError.NO_SUCH_OVERLOAD;
        };
    }

    /** A part of a time. All but the year and getDate count from 0; the days of a week from Sunday. */
    private static Object part(String function, ZonedDateTime time) {
        return switch (function) {
            case "getFullYear" -> (long) time.getYear();
            case "getMonth" -> time.getMonthValue() - 1L;
            case "getDayOfYear" -> time.getDayOfYear() - 1L;
            case "getDayOfMonth" -> time.getDayOfMonth() - 1L;
            case "getDate" -> (long) time.getDayOfMonth();
            case "getDayOfWeek" -> time.getDayOfWeek().getValue() % 7L;
            case "getHours" -> (long) time.getHour();
            case "getMinutes" -> (long) time.getMinute();
            case "getSeconds" -> (long) time.getSecond();
            case "getMilliseconds" -> time.getNano() / NANOS_PER_MILLISECOND;
            default -> EvaluationError.NO_SUCH_OVERLOAD;
        };
    }
}
