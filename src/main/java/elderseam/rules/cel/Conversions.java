package elderseam.rules.cel;

import java.math.BigDecimal;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.time.DateTimeException;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.Set;

/** The type conversions {@code int}, {@code uint}, {@code double}, {@code string}, {@code bytes}, {@code bool}, {@code timestamp} and {@code duration}. */
final class Conversions {
    private static final double TWO_POW_63 = 0x1p63;
    private static final double TWO_POW_64 = 0x1p64;
    /** Whole doubles below this are written without an exponent or a fraction. */
    private static final double MAX_PLAIN_DOUBLE = 1e15;

    private static final int NANO_DIGITS = 9;
    private static final Set<String> TRUE_WORDS = Set.of("true", "True", "TRUE", "t", "1");
    private static final Set<String> FALSE_WORDS = Set.of("false", "False", "FALSE", "f", "0");

    private Conversions() {}

    /** A value converted to the type that the function names, or an error. */
    static Object convert(String function, Object value) {
        try {
            return switch (function) {
                case "int" -> toInt(value);
                case "uint" -> toUint(value);
                case "double" -> toDouble(value);
                case "string" -> toText(value);
                case "bytes" -> toBytes(value);
                case "bool" -> toBool(value);
                case "timestamp" -> toTimestamp(value);
                case "duration" -> toDuration(value);
                default -> EvaluationError.NO_SUCH_OVERLOAD;
            };
        } catch (NumberFormatException | DateTimeException e) {
            return new EvaluationError("can't be converted to " + function);
        }
    }

    private static Object toInt(Object value) {
        if (value instanceof Long) {
            return value;
        }
        if (value instanceof UnsignedLong number) {
            return number.bits() < 0 ? EvaluationError.OUT_OF_RANGE : (Object) number.bits();
        }
        if (value instanceof Double number) {
            boolean isInRange = number > -TWO_POW_63 && number < TWO_POW_63;
            return isInRange ? (Object) number.longValue() : EvaluationError.OUT_OF_RANGE;
        }
        if (value instanceof String text) {
            return Long.parseLong(text);
        }
        return value instanceof Instant time ? (Object) time.getEpochSecond() : EvaluationError.NO_SUCH_OVERLOAD;
    }

    private static Object toUint(Object value) {
        if (value instanceof UnsignedLong) {
            return value;
        }
        if (value instanceof Long number) {
            return number < 0 ? EvaluationError.OUT_OF_RANGE : new UnsignedLong(number);
        }
        if (value instanceof Double number) {
            boolean isInRange = number > -1 && number < TWO_POW_64;
            return isInRange
                    ? new UnsignedLong(new BigDecimal(number).toBigInteger().longValue())
                    : EvaluationError.OUT_OF_RANGE;
        }
        return value instanceof String text
                ? new UnsignedLong(Long.parseUnsignedLong(text))
                : EvaluationError.NO_SUCH_OVERLOAD;
    }

    private static Object toDouble(Object value) {
        if (value instanceof Double) {
            return value;
        }
        if (value instanceof Long number) {
            return (double) number;
        }
        if (value instanceof UnsignedLong number) {
            return new BigDecimal(number.toString()).doubleValue();
        }
        return value instanceof String text ? (Object) Double.parseDouble(text) : EvaluationError.NO_SUCH_OVERLOAD;
    }

    private static Object toText(Object value) {
        if (value instanceof ByteSequence bytes) {
            return decode(bytes);
        }
        if (value instanceof Double number) {
            boolean isPlain = number == Math.rint(number) && Math.abs(number) < MAX_PLAIN_DOUBLE;
            return isPlain ? Long.toString(number.longValue()) : Double.toString(number);
        }
        if (value instanceof Duration duration) {
            BigDecimal seconds = BigDecimal.valueOf(duration.getSeconds())
                    .add(BigDecimal.valueOf(duration.getNano(), NANO_DIGITS))
                    .stripTrailingZeros();
            return seconds.toPlainString() + "s";
        }
        boolean isOwnText = value instanceof String
                || value instanceof Boolean
                || value instanceof Long
                || value instanceof UnsignedLong
                || value instanceof Instant;
        return isOwnText ? value.toString() : EvaluationError.NO_SUCH_OVERLOAD;
    }

    private static Object decode(ByteSequence bytes) {
        try {
            return StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(bytes.octets))
                    .toString();
        } catch (CharacterCodingException e) {
            return new EvaluationError("octets that are no UTF-8");
        }
    }

    private static Object toBytes(Object value) {
        if (value instanceof ByteSequence) {
            return value;
        }
        return value instanceof String text
                ? new ByteSequence(text.getBytes(StandardCharsets.UTF_8))
                : EvaluationError.NO_SUCH_OVERLOAD;
    }

    private static Object toBool(Object value) {
        if (value instanceof Boolean) {
            return value;
        }
        if (!(value instanceof String text)) {
            return EvaluationError.NO_SUCH_OVERLOAD;
        }
        if (TRUE_WORDS.contains(text)) {
            return true;
        }
        return FALSE_WORDS.contains(text) ? (Object) false : new EvaluationError("can't be converted to bool");
    }

    private static Object toTimestamp(Object value) {
        if (value instanceof Instant) {
            return value;
        }
        return value instanceof String text ? TimeFunctions.timestamp(text) : EvaluationError.NO_SUCH_OVERLOAD;
    }

    private static Object toDuration(Object value) {
        if (value instanceof Duration) {
            return value;
        }
        if (!(value instanceof String text)) {
            return EvaluationError.NO_SUCH_OVERLOAD;
        }
        Optional<Duration> duration = TimeFunctions.duration(text);
        return duration.isPresent() ? duration.get() : new EvaluationError("no duration");
    }
}
