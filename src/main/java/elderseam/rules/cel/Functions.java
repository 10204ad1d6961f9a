package elderseam.rules.cel;

import com.google.re2j.Pattern;
import java.math.BigDecimal;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.time.DateTimeException;
import java.time.Duration;
import java.time.Instant;
import java.time.OffsetDateTime;
import java.time.ZoneId;
import java.time.ZonedDateTime;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;

/** What functions and operators give, errors as values. Those that go through items count them on the counter. */
final class Functions {
    private static final java.util.regex.Pattern
            DURATION =
                    java.util.regex.Pattern.compile("[-+]?((\\d{1,18}(\\.\\d{0,9})?|\\.\\d{1,9})(h|ms|us|µs|ns|m|s))+"),
            PART = java.util.regex.Pattern.compile("(\\d*(?:\\.\\d*)?)(h|ms|us|µs|ns|m|s)");
    private static final Map<String, Long> UNITS = Map.of(
            "h",
            3_600_000_000_000L,
            "m",
            60_000_000_000L,
            "s",
            1_000_000_000L,
            "ms",
            1_000_000L,
            "us",
            1_000L,
            "µs",
            1_000L,
            "ns",
            1L);
    private static final long MOST_SECONDS = 315_576_000_000L;
    private static final Instant FIRST = Instant.parse("0001-01-01T00:00:00Z"),
            LAST = Instant.parse("9999-12-31T23:59:59.999999999Z");

    private Functions() {}

    /** A linear-time pattern (RE2). */
    static Pattern pattern(String text) {
        return Pattern.compile(text);
    }

    static Object call(String f, Object[] a, CostCounter counter) {
        return switch (f) {
            case "==" -> equal(a[0], a[1], counter);
            case "!=" -> !equal(a[0], a[1], counter);
            case "<", "<=", ">", ">=" -> ordered(f, a[0], a[1]);
            case "+", "-", "*", "/", "%" -> Arithmetic.of(f, a[0], a[1]);
            case "-_" ->
                a[0] instanceof Long n
                        ? n == Long.MIN_VALUE ? EvaluationError.OVERFLOW : (Object) (-n)
                        : a[0] instanceof Double d ? (Object) (-d) : EvaluationError.NO_OVERLOAD;
            case "!_" -> a[0] instanceof Boolean b ? (Object) !b : EvaluationError.NO_OVERLOAD;
            case "in" -> in(a[0], a[1], counter);
            case "[]" -> index(a[0], a[1]);
            case "size" -> size(a[0]);
            case "startsWith", "endsWith", "contains" -> text(f, a[0], a[1]);
            case "dyn" -> a[0];
            default -> f.startsWith("get") ? part(f, a) : convert(f, a[0]);
        };
    }

    static boolean isNumber(Object v) {
        return v instanceof Long || v instanceof UnsignedLong || v instanceof Double;
    }

    /** Numbers of all kinds by their value; -2 where one is not a number. */
    static int compare(Object x, Object y) {
        if (x instanceof Long a && y instanceof Long b) {
            return Long.compare(a, b);
        }
        if ((x instanceof Double a && a.isNaN()) || (y instanceof Double b && b.isNaN())) {
            return -2;
        }
        if (x instanceof Double a && y instanceof Double b) {
            return a < b ? -1 : a > b ? 1 : 0; // the two zeros are one
        }
        if (x instanceof Double a && a.isInfinite()) {
            return a > 0 ? 1 : -1;
        }
        if (y instanceof Double b && b.isInfinite()) {
            return b > 0 ? -1 : 1;
        }
        return Integer.signum(exact(x).compareTo(exact(y)));
    }

    private static BigDecimal exact(Object n) {
        return n instanceof Double d ? new BigDecimal(d) : new BigDecimal(n.toString());
    }

    static boolean equal(Object x, Object y, CostCounter counter) {
        counter.count(1);
        if (counter.over()) {
            return false;
        }
        if (isNumber(x) && isNumber(y)) {
            return compare(x, y) == 0;
        }
        if (x instanceof List<?> a && y instanceof List<?> b) {
            boolean same = a.size() == b.size();
            for (int i = 0; same && i < a.size(); i++) {
                same = equal(a.get(i), b.get(i), counter);
            }
            return same;
        }
        if (x instanceof Map<?, ?> a && y instanceof Map<?, ?> b) {
            boolean same = a.size() == b.size();
            for (Map.Entry<?, ?> e : a.entrySet()) {
                Object other = same ? lookup(b, e.getKey()) : null;
                same = other != null && equal(e.getValue(), other, counter);
                if (!same) {
                    break;
                }
            }
            return same;
        }
        counter.count(x instanceof String s ? s.length() / 16 : x instanceof ByteSequence b ? b.length() / 16 : 0);
        return x.equals(y);
    }

    private static Object ordered(String f, Object x, Object y) {
        int c;
        if (isNumber(x) && isNumber(y)) {
            c = compare(x, y);
            if (c == -2) {
                return false;
            }
        } else if (x instanceof String a && y instanceof String b) {
            c = codePoints(a, b);
        } else if (x instanceof Boolean a && y instanceof Boolean b) {
            c = a.compareTo(b);
        } else if (x instanceof ByteSequence a && y instanceof ByteSequence b) {
            c = a.compareTo(b);
        } else if (x instanceof Instant a && y instanceof Instant b) {
            c = a.compareTo(b);
        } else if (x instanceof Duration a && y instanceof Duration b) {
            c = a.compareTo(b);
        } else {
            return EvaluationError.NO_OVERLOAD;
        }
        return f.charAt(0) == '<' ? c < 0 || (c == 0 && f.length() == 2) : c > 0 || (c == 0 && f.length() == 2);
    }

    /** By code points, not by the halves of those beyond 16 bits. */
    private static int codePoints(String a, String b) {
        int i = 0;
        while (i < a.length() && i < b.length() && a.charAt(i) == b.charAt(i)) {
            i++;
        }
        if (i == a.length() || i == b.length()) {
            return a.length() - b.length();
        }
        boolean x = Character.isSurrogate(a.charAt(i)), y = Character.isSurrogate(b.charAt(i));
        return x == y ? a.charAt(i) - b.charAt(i) : x ? 1 : -1;
    }

    private static Object in(Object x, Object of, CostCounter counter) {
        if (of instanceof Map<?, ?> m) {
            return lookup(m, x) != null;
        }
        if (!(of instanceof List<?> l)) {
            return EvaluationError.NO_OVERLOAD;
        }
        for (Object item : l) {
            if (equal(x, item, counter)) {
                return true;
            }
        }
        return false;
    }

    /** What a map has for a key, numbers of all kinds by their value; null for nothing. */
    static Object lookup(Map<?, ?> m, Object key) {
        Object v = m.get(key);
        if (v != null || !isNumber(key)) {
            return v;
        }
        BigDecimal n = key instanceof Double d && (d.isNaN() || d.isInfinite())
                ? null
                : exact(key).stripTrailingZeros();
        if (n == null || n.scale() > 0 || n.precision() - n.scale() > 20) {
            return null;
        }
        v = n.toBigInteger().bitLength() < 64 ? m.get(n.longValue()) : null;
        return v != null
                ? v
                : n.signum() >= 0 && n.toBigInteger().bitLength() <= 64
                        ? m.get(new UnsignedLong(n.toBigInteger().longValue()))
                        : null;
    }

    private static Object index(Object of, Object key) {
        if (of instanceof Map<?, ?> m) {
            Object v = lookup(m, key);
            return v == null ? EvaluationError.NO_KEY : v;
        }
        if (of instanceof List<?> l && isNumber(key)) {
            boolean in =
                    compare(key, 0L) >= 0 && compare(key, (long) l.size()) < 0 && compare(key, exactLong(key)) == 0;
            return in ? l.get((int) exactLong(key)) : EvaluationError.BOUNDS;
        }
        return EvaluationError.NO_OVERLOAD;
    }

    private static long exactLong(Object n) {
        return n instanceof Long l ? l : n instanceof UnsignedLong u ? u.bits() : (long) (double) (Double) n;
    }

    private static Object size(Object v) {
        return v instanceof String s
                ? (Object) (long) s.codePointCount(0, s.length())
                : v instanceof ByteSequence b
                        ? (Object) (long) b.length()
                        : v instanceof List<?> l
                                ? (Object) (long) l.size()
                                : v instanceof Map<?, ?> m ? (Object) (long) m.size() : EvaluationError.NO_OVERLOAD;
    }

    private static Object text(String f, Object x, Object y) {
        if (!(x instanceof String a) || !(y instanceof String b)) {
            return EvaluationError.NO_OVERLOAD;
        }
        return f.equals("startsWith") ? a.startsWith(b) : f.equals("endsWith") ? a.endsWith(b) : a.contains(b);
    }

    // ---------------------------------------------------------------- conversions

    private static Object convert(String f, Object v) {
        try {
            return switch (f) {
                case "int" -> toInt(v);
                case "uint" -> toUint(v);
                case "double" ->
                    v instanceof Double
                            ? v
                            : v instanceof Long n
                                    ? (Object) (double) n
                                    : v instanceof UnsignedLong u
                                            ? (Object) new BigDecimal(u.toString()).doubleValue()
                                            : v instanceof String s
                                                    ? (Object) Double.parseDouble(s)
                                                    : EvaluationError.NO_OVERLOAD;
                case "string" -> toText(v);
                case "bytes" ->
                    v instanceof ByteSequence
                            ? v
                            : v instanceof String s
                                    ? new ByteSequence(s.getBytes(StandardCharsets.UTF_8))
                                    : EvaluationError.NO_OVERLOAD;
                case "bool" -> toBool(v);
                case "timestamp" ->
                    v instanceof Instant ? v : v instanceof String s ? timestamp(s) : EvaluationError.NO_OVERLOAD;
                case "duration" ->
                    v instanceof Duration
                            ? v
                            : v instanceof String s
                                    ? duration(s) == null ? new EvaluationError("no duration") : duration(s)
                                    : EvaluationError.NO_OVERLOAD;
                default -> EvaluationError.NO_OVERLOAD;
            };
        } catch (NumberFormatException | DateTimeException e) {
            return new EvaluationError("can't be converted to " + f);
        }
    }

    private static Object toInt(Object v) {
        if (v instanceof Double d) {
            return d > -0x1p63 && d < 0x1p63 ? (Object) (long) (double) d : EvaluationError.RANGE;
        }
        return v instanceof Long
                ? v
                : v instanceof UnsignedLong u
                        ? u.bits() < 0 ? EvaluationError.RANGE : (Object) u.bits()
                        : v instanceof String s
                                ? (Object) Long.parseLong(s)
                                : v instanceof Instant t ? (Object) t.getEpochSecond() : EvaluationError.NO_OVERLOAD;
    }

    private static Object toUint(Object v) {
        if (v instanceof Double d) {
            return d > -1 && d < 0x1p64
                    ? (Object) new UnsignedLong(new BigDecimal(d).toBigInteger().longValue())
                    : EvaluationError.RANGE;
        }
        return v instanceof UnsignedLong
                ? v
                : v instanceof Long n
                        ? n < 0 ? EvaluationError.RANGE : new UnsignedLong(n)
                        : v instanceof String s
                                ? new UnsignedLong(Long.parseUnsignedLong(s))
                                : EvaluationError.NO_OVERLOAD;
    }

    private static Object toText(Object v) {
        if (v instanceof ByteSequence b) {
            try {
                return StandardCharsets.UTF_8
                        .newDecoder()
                        .decode(ByteBuffer.wrap(b.octets))
                        .toString();
            } catch (CharacterCodingException e) {
                return new EvaluationError("octets that are no UTF-8");
            }
        }
        if (v instanceof Double d) {
            return d == Math.rint(d) && Math.abs(d) < 1e15 ? Long.toString((long) (double) d) : Double.toString(d);
        }
        if (v instanceof Duration d) {
            BigDecimal s = BigDecimal.valueOf(d.getSeconds())
                    .add(BigDecimal.valueOf(d.getNano(), 9))
                    .stripTrailingZeros();
            return s.toPlainString() + "s";
        }
        return v instanceof String
                        || v instanceof Boolean
                        || v instanceof Long
                        || v instanceof UnsignedLong
                        || v instanceof Instant
                ? v.toString()
                : EvaluationError.NO_OVERLOAD;
    }

    private static Object toBool(Object v) {
        return v instanceof Boolean
                ? v
                : !(v instanceof String s)
                        ? EvaluationError.NO_OVERLOAD
                        : List.of("true", "True", "TRUE", "t", "1").contains(s)
                                ? (Object) true
                                : List.of("false", "False", "FALSE", "f", "0").contains(s)
                                        ? (Object) false
                                        : new EvaluationError("can't be converted to bool");
    }

    /** RFC 3339; of the years 1 to 9999. */
    static Object timestamp(String s) {
        Instant t = OffsetDateTime.parse(s).toInstant();
        return inRange(t);
    }

    static Object inRange(Instant t) {
        return t.isBefore(FIRST) || t.isAfter(LAST) ? EvaluationError.RANGE : t;
    }

    static Object inRange(Duration d) {
        return Math.abs(d.toSeconds()) > MOST_SECONDS ? EvaluationError.RANGE : d;
    }

    /** Such as 1h30m or -0.5s; null for none. */
    static Duration duration(String s) {
        if (!DURATION.matcher(s).matches()) {
            return null;
        }
        BigDecimal ns = BigDecimal.ZERO;
        for (Matcher m = PART.matcher(s); m.find(); ) {
            ns = ns.add(new BigDecimal(m.group(1).endsWith(".") ? m.group(1) + "0" : m.group(1))
                    .multiply(BigDecimal.valueOf(UNITS.get(m.group(2)))));
        }
        BigDecimal signed = s.startsWith("-") ? ns.negate() : ns;
        return signed.abs().compareTo(BigDecimal.valueOf(MOST_SECONDS, -9)) > 0
                ? null
                : Duration.ofSeconds(
                        signed.toBigInteger()
                                .divide(java.math.BigInteger.valueOf(1_000_000_000))
                                .longValue(),
                        signed.toBigInteger()
                                .remainder(java.math.BigInteger.valueOf(1_000_000_000))
                                .longValue());
    }

    // ---------------------------------------------------------------- parts of times

    private static Object part(String f, Object[] a) {
        if (a[0] instanceof Duration d && a.length == 1) {
            return switch (f) {
                case "getHours" -> d.toHours();
                case "getMinutes" -> d.toMinutes();
                case "getSeconds" -> d.toSeconds();
                case "getMilliseconds" -> (long) d.toMillisPart();
                default -> EvaluationError.NO_OVERLOAD;
            };
        }
        if (!(a[0] instanceof Instant t) || (a.length == 2 && !(a[1] instanceof String))) {
            return EvaluationError.NO_OVERLOAD;
        }
        try {
            ZonedDateTime z = t.atZone(ZoneId.of(a.length == 2 ? (String) a[1] : "UTC"));
            return switch (f) {
                case "getFullYear" -> (long) z.getYear();
                case "getMonth" -> z.getMonthValue() - 1L;
                case "getDayOfYear" -> z.getDayOfYear() - 1L;
                case "getDayOfMonth" -> z.getDayOfMonth() - 1L;
                case "getDate" -> (long) z.getDayOfMonth();
                case "getDayOfWeek" -> z.getDayOfWeek().getValue() % 7L;
                case "getHours" -> (long) z.getHour();
                case "getMinutes" -> (long) z.getMinute();
                case "getSeconds" -> (long) z.getSecond();
                case "getMilliseconds" -> z.getNano() / 1_000_000L;
                default -> EvaluationError.NO_OVERLOAD;
            };
        } catch (DateTimeException e) {
            return new EvaluationError("no such time zone");
        }
    }

    /** Two lists, one after the other. */
    static List<Object> joined(List<?> a, List<?> b) {
        List<Object> all = new ArrayList<>(a);
        all.addAll(b);
        return all;
    }
}
