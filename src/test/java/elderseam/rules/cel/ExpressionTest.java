package elderseam.rules.cel;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Values, errors, faults and cost bounds of single expressions, as the CEL specification defines them. */
class ExpressionTest {
    private static final Scope SCOPE = new Scope()
            .name("i", Type.Plain.INT, ValueSize.ONE)
            .name("u", Type.Plain.UINT, ValueSize.ONE)
            .name("d", Type.Plain.DOUBLE, ValueSize.ONE)
            .name("b", Type.Plain.BOOL, ValueSize.ONE)
            .name("s", Type.Plain.STRING, ValueSize.text(64))
            .name("t", Type.Plain.TIMESTAMP, ValueSize.ONE)
            .name("h", new Type.MapType(Type.Plain.STRING, Type.Plain.STRING), ValueSize.list(32, ValueSize.text(256)))
            .name("l", new Type.ListType(Type.Plain.INT), ValueSize.list(16, ValueSize.ONE))
            .name("x", Type.Plain.DYN, ValueSize.text(64))
            .name("gone", Type.Plain.BOOL, ValueSize.ONE);
    private static final Map<String, Object> VALUES = Map.ofEntries(
            Map.entry("i", 7L),
            Map.entry("u", new UnsignedLong(3)),
            Map.entry("d", 2.5),
            Map.entry("b", true),
            Map.entry("s", "rent"),
            Map.entry("t", Instant.parse("2026-12-31T23:30:00.250Z")),
            Map.entry("h", Map.of("org", "erongo", "month", "12")),
            Map.entry("l", List.of(1L, 2L, 3L)),
            Map.entry("x", "any"));

    private static final long BUDGET = 1_000_000;

    private static Expression.Compiled compile(String text) {
        return Expression.compile(text, SCOPE, Type.Plain.DYN, BUDGET);
    }

    /** The value by the reference and by the compiled program, which agree, at a cost within the bound. */
    private static Object evaluate(String text) {
        Expression.Compiled compiled = compile(text);
        assertNotNull(
                compiled.expression(),
                () -> text + "\n" + compiled.faults().get(0).describe());
        Expression expression = compiled.expression();
        long bound = expression.bound();
        Expression.Outcome reference = expression.evaluate(VALUES::get);
        assertTrue(reference.cost() <= bound, () -> text + ": cost " + reference.cost() + ", bound " + bound);
        EvaluationInputs inputs = RandomInputs.inputs(SCOPE, VALUES);
        assertEquals(reference.value(), expression.program().value(inputs), () -> text + ", compiled");
        assertTrue(inputs.cost() <= bound, () -> text + ": compiled " + inputs.cost() + ", bound " + bound);
        return reference.value();
    }

    /** The only fault, or the first one, of an expression that has any. */
    private static ExpressionFault firstFault(String text, Scope scope, Type expected, long budget) {
        return Expression.compile(text, scope, expected, budget).faults().get(0);
    }

    private static String firstLine(ExpressionFault fault) {
        return fault.describe().split("\n")[0];
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "true",
                "!false",
                "1 + 2 * 3 == 7",
                "(1 + 2) * 3 == 9",
                "7 / 2 == 3",
                "-7 / 2 == -3",
                "-7 % 3 == -1",
                "7.0 / 2.0 == 3.5",
                "0x10 == 16",
                "0xffu == 255u",
                "1e3 == 1000.0",
                ".5 == 0.5",
                "-9223372036854775808 < 0",
                "18446744073709551615u > 0u",
                "1 == 1 ? true : false",
                "b ? i == 7 : false",
                "1 < 2 && 2 <= 2 && 3 > 2 && 3 >= 3",
                "'a' < 'b'",
                "'a' + 'b' == 'ab'",
                "\"\\u00e9\" == 'é'",
                "'''a'b''' == \"a'b\"",
                "r'\\n' == '\\\\n'",
                "b'\\xff' != b'a'",
                "b'é' == b'\\xc3\\xa9'",
                "size('héllo') == 5",
                "x + '!' == 'any!'",
                "dyn([1]) + [2] == [1, 2]",
                "size('a' + x) == 4",
                "size(b'é') == 2",
                "'\\U0001F600'.size() == 1",
                "size([1, 2, 3]) == 3",
                "{'a': 1}.size() == 1",
                "2 in [1, 2]",
                "!(4 in [1, 2])",
                "'a' in {'a': 1}",
                "[1, 2][1] == 2",
                "{'a': 1}['a'] == 1",
                "{'a': 1}.a == 1",
                "has(h.org)",
                "!has(h.none)",
                "h.org == 'erongo'",
                "h['month'] == '12'",
                "s.startsWith('re')",
                "s.endsWith('nt')",
                "s.contains('en')",
                "s.matches('^r.*t$')",
                "matches('abc', 'b')",
                "[1, 2] + [3] == [1, 2, 3]",
                "[1, 2] != [2, 1]",
                "{'a': 1, 'b': 2} == {'b': 2, 'a': 1}",
                "null == null",
                "dyn(null) != 1",
                "dyn(1) == 1u",
                "dyn(1) == 1.0",
                "dyn(1u) in [1]",
                "dyn(1.0) in {1: 'a'}",
                "1 < 2u",
                "1.5 > 1",
                "3u >= 2.5",
                "!(dyn('a') == 1)",
                "0.0 == -0.0",
                "!(0.0 / 0.0 == 0.0 / 0.0)",
                "1.0 / 0.0 > 1e308",
                "int(2.9) == 2",
                "int(-2.9) == -2",
                "int('42') == 42",
                "int(5u) == 5",
                "uint(5) == 5u",
                "uint('5') == 5u",
                "double(2) == 2.0",
                "double('2.5') == 2.5",
                "string(12) == '12'",
                "string(true) == 'true'",
                "string(1.5) == '1.5'",
                "string(b'abc') == 'abc'",
                "bytes('a') == b'a'",
                "bool('true')",
                "timestamp('2026-12-01T00:00:00Z') < t",
                "t - timestamp('2026-12-31T23:30:00Z') == duration('250ms')",
                "t + duration('30m') > t",
                "duration('1h30m') == duration('90m')",
                "duration('-1.5s') == duration('-1500ms')",
                "duration('1h') + duration('1m') == duration('61m')",
                "duration('90m').getHours() == 1",
                "duration('90m').getMinutes() == 90",
                "t.getFullYear() == 2026",
                "t.getMonth() == 11",
                "t.getDate() == 31",
                "t.getDayOfMonth() == 30",
                "t.getDayOfYear() == 364",
                "t.getDayOfWeek() == 4",
                "t.getHours() == 23",
                "t.getMinutes() == 30",
                "t.getMilliseconds() == 250",
                "t.getDate('Africa/Windhoek') == 1",
                "t.getMonth('+02:00') == 0",
                "string(duration('1m')) == '60s'",
                "string(timestamp('2026-12-01T00:00:00Z')) == '2026-12-01T00:00:00Z'",
                "l.all(n, n > 0)",
                "l.exists(n, n == 2)",
                "l.exists_one(n, n > 2)",
                "!l.exists_one(n, n > 1)",
                "l.filter(n, n > 1) == [2, 3]",
                "l.map(n, n * 2) == [2, 4, 6]",
                "l.map(n, n > 1, n * 2) == [4, 6]",
                "h.exists(k, h[k] == 'erongo')",
                "[[1], [2, 3]].exists(a, a.exists(c, c == 3))",
                "[1].map(i, i + 1) == [2] && i == 7",
                "gone || true",
                "true || gone",
                "!(gone && false)",
                "!(false && gone)",
                "[1, 0].exists(n, 1 / n == 1)",
                "![0, 5].all(n, 1 / n == 1)",
                "false ? 1 / 0 == 1 : true",
                "(1 / 0 == 1) || true",
                "1 + // a comment\n 1 == 2",
                "[1, 2,] == [1, 2]",
                "x == 'any'",
                "x + '!' == 'any!'",
                "{1: 'a', 2u: 'b'}[2] == 'b'"
            })
    void evaluatesToTrue(String text) {
        assertEquals(true, evaluate(text), text);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "9223372036854775807 + 1|overflow",
                "-9223372036854775807 - 2|overflow",
                "9223372036854775807 * 2|overflow",
                "0u - 1u|overflow",
                "18446744073709551615u + 1u|overflow",
                "18446744073709551615u * 2u|overflow",
                "-(-9223372036854775808)|overflow",
                "-9223372036854775808 / -1|overflow",
                "1 / 0|division by zero",
                "1u % 0u|division by zero",
                "[1][1]|index out of bounds",
                "[1][-1]|index out of bounds",
                "h.none|no such key",
                "{'a': 1}['b']|no such key",
                "{1: 2, 1u: 3}|a key twice in one map",
                "gone|no value for a name",
                "gone && true|no value for a name",
                "s in ['a', string(int('x'))]|can't be converted to int",
                "int('x')|can't be converted to int",
                "uint(-1)|out of range",
                "int(1e30)|out of range",
                "int(0.0 / 0.0)|out of range",
                "bool('yes')|can't be converted to bool",
                "x < 1|no such overload",
                "x.a|no such overload",
                "x - 1|no such overload",
                "dyn(1) && true|no such overload",
                "t.getHours(s)|no such time zone",
                "string(b'\\xff')|octets that are no UTF-8",
                "[1, 0].map(n, 1 / n)|division by zero",
                "[1, 0].exists(n, 1 / n == 5)|division by zero",
                "t + duration('80000000h')|out of range",
                "timestamp('9999-12-31T23:59:59Z') + duration('1s')|out of range"
            })
    void evaluatesToError(String text, String message) {
        assertEquals(new EvaluationError(message), evaluate(text), text);
    }

    /** The beginning of the fault that is reported: where it is, and what is wrong. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "1 +|1:4: the end where an expression",
                "1 + 'a'|1:3: + of (int, string), expected",
                "(1|1:3: the end where ')'",
                "nope|1:1: no such name 'nope', known: i, u",
                "s.nope()|1:3: no such method 'nope'",
                "nope(1)|1:1: no such function 'nope'",
                "1 == 'a'|1:3: == of int and string",
                "i ? 1 : 2|1:1: gives int where bool",
                "b ? 1 : 'a'|1:3: gives int or string",
                "s.matches(s)|1:11: a pattern that is not constant",
                "s.matches('(')|1:11:",
                "s.matches('(?=a)')|1:11:",
                "duration('soon')|1:10: no duration",
                "timestamp('soon')|1:11:",
                "t.getHours('Nowhere/Else')|1:12:",
                "i.a|1:3: .a of int",
                "i[0]|1:2: int[int]",
                "[1]['a']|1:4: list(int)[string]",
                "1 in 2|1:3: int in int",
                "{1.5: 2}|1:2: a key of double",
                "s + 'a|1:5: a string without an end",
                "s + '\\q'|1:6: an escape that is none",
                "s + '\\ud800'|1:6: an escape of no character",
                "1 1|1:3: a literal where an operator",
                "9223372036854775808|1:1: a number that 64 bits",
                "99999999999999999999u|1:1: a number that 64 bits",
                "1e|1:3: an exponent has digits",
                "@|1:1: a character that begins nothing",
                "if|1:1: 'if' is a reserved word",
                "l.all(n)|1:3: all takes a name",
                "l.all(1, true)|1:3: all takes a name",
                "l.map(n, n, n, n)|1:3: map takes a name",
                "has(i)|1:1: has takes a selection",
                "i.all(n, true)|1:3: all over int",
                "l.all(n, n)|1:10: gives int where bool",
                "!1|1:1: ! of (int), expected (bool)",
                "b && 1|1:3: && of (bool, int)",
                "-u|1:1: - of (uint)"
            })
    void reportsFault(String text, String expected) {
        Expression.Compiled compiled = compile(text);
        assertNull(compiled.expression(), text);
        String first = compiled.faults().get(0).describe();
        assertTrue(first.startsWith(expected), first);
        String[] lines = first.split("\n");
        assertEquals('^', lines[2].charAt(lines[2].length() - 1));
    }

    @Test
    void reportsEveryFault() {
        List<ExpressionFault> faults = Expression.compile("b &&\nno1 &&\n1  + 'a' == 2", SCOPE, Type.Plain.BOOL, BUDGET)
                .faults();
        assertEquals(
                List.of("2:1: no such name 'no1', known: i, u, d, b, s, t, h, l, x, gone", "3:4: + of (int, string)"),
                faults.stream()
                        .map(fault -> firstLine(fault).split(", expected")[0])
                        .toList());
    }

    @Test
    void reportsAnUnexpectedResultType() {
        assertEquals(
                "1:1: gives int where bool is expected", firstLine(firstFault("i", SCOPE, Type.Plain.BOOL, 1_000)));
    }

    /** Nothing that is too deep, too long or too wide runs out of stack, memory or time. */
    @Test
    void rejectsWhatIsTooLarge() {
        List<String> texts = List.of(
                "(".repeat(10_000) + "1" + ")".repeat(10_000),
                "!".repeat(10_000) + "b",
                "-".repeat(10_000) + "i",
                "[".repeat(10_000),
                "1" + "+1".repeat(10_000),
                "b" + "?b:b".repeat(10_000),
                "x" + ".a".repeat(10_000),
                "x" + "[0]".repeat(10_000),
                "{1:".repeat(10_000),
                "b" + " && b".repeat(10_000),
                "x".repeat(10 << 20),
                "(1" + "+(1".repeat(90) + "+1".repeat(50) + ")".repeat(91),
                "(".repeat(5) + "1" + ("+1".repeat(99) + ")").repeat(5) + "+1".repeat(60));
        for (String text : texts) {
            boolean isRejected = compile(text).expression() == null;
            assertTrue(isRejected || text.length() < 2_000, () -> "accepted: " + text.substring(0, 40));
        }
    }

    @Test
    void acceptsLongChains() {
        assertEquals(499L, evaluate("1" + "+1".repeat(98) + "+(1" + "+1".repeat(99) + ")+300"));
        assertEquals(true, evaluate("b" + " && b".repeat(400)));
    }

    /** The fault of an expression above its budget is at the outermost comprehension of nested ones, whose costs multiply. */
    @Test
    void reportsThePartThatCostsTooMuch() {
        String text = "b && l.all(a, l.all(c, l.all(e, l.exists(f, a + c + e + f > 0))))";
        ExpressionFault fault = firstFault(text, SCOPE, Type.Plain.BOOL, 100_000);
        assertTrue(fault.message().matches("may cost \\d+ units, allowed: 100000"), fault.message());
        assertEquals(text.indexOf(".all(a") + 2, fault.column());
        assertNotNull(
                Expression.compile(text, SCOPE, Type.Plain.BOOL, 10_000_000).expression());
    }

    @Test
    void reportsACostWithoutBound() {
        Scope scope = new Scope().name("m", new Type.ListType(Type.Plain.INT), ValueSize.list(1L << 40, ValueSize.ONE));
        ExpressionFault fault = firstFault("m.all(a, m.all(c, a == c))", scope, Type.Plain.BOOL, 1 << 20);
        assertTrue(fault.message().contains("without end"), fault.message());
    }

    @Test
    void inputsAboveTheirDeclaredSizeEndInAnError() {
        Scope scope = new Scope().name("m", new Type.ListType(Type.Plain.INT), ValueSize.list(3, ValueSize.ONE));
        Expression expression = Expression.compile("m.all(a, m.all(c, a + c > 0))", scope, Type.Plain.BOOL, 200)
                .expression();
        List<Object> tooMany = Collections.nCopies(1_000_000, 1L);
        assertEquals(
                EvaluationError.BUDGET_EXCEEDED,
                expression.evaluate(name -> tooMany).value());
        assertEquals(true, expression.evaluate(name -> List.of(1L, 2L, 3L)).value());
    }

    @Test
    void readsFractionsOfDurations() {
        assertEquals(Duration.ofMinutes(90), evaluate("duration('1.5h')"));
    }
}
