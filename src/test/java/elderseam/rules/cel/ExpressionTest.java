package elderseam.rules.cel;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Values, errors, faults and bounds, case by case, as the CEL specification has them. */
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
    private static final Map<String, Object> VALUES = Map.of(
            "i",
            7L,
            "u",
            new UnsignedLong(3),
            "d",
            2.5,
            "b",
            true,
            "s",
            "rent",
            "t",
            Instant.parse("2026-12-31T23:30:00.250Z"),
            "h",
            Map.of("org", "erongo", "month", "12"),
            "l",
            List.of(1L, 2L, 3L),
            "x",
            "any");

    private static Expression compiled(String text) {
        Expression.Compiled c = Expression.compile(text, SCOPE, Type.Plain.DYN, 1_000_000);
        assertNotNull(c.expression(), () -> text + "\n" + c.faults().get(0).shown());
        return c.expression();
    }

    private static Object value(String text) {
        Expression e = compiled(text);
        Expression.Outcome o = e.evaluate(VALUES::get);
        assertTrue(o.cost() <= e.bound(), () -> text + ": cost " + o.cost() + ", bound " + e.bound());
        EvaluationInputs in = DifferentialTest.inputs(SCOPE, VALUES);
        assertEquals(o.value(), e.program().value(in), () -> text + ", compiled");
        assertTrue(in.spent() <= e.bound(), () -> text + ": compiled " + in.spent() + ", bound " + e.bound());
        return o.value();
    }

    /** Each is an expression that gives true. */
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
    void gives(String text) {
        assertEquals(true, value(text), text);
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
    void errors(String text, String words) {
        assertEquals(new EvaluationError(words), value(text), text);
    }

    /** Where, and what is expected. */
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
    void faults(String text, String shown) {
        Expression.Compiled c = Expression.compile(text, SCOPE, Type.Plain.DYN, 1_000_000);
        assertEquals(null, c.expression(), text);
        String first = c.faults().get(0).shown();
        assertTrue(first.startsWith(shown), first);
        String[] lines = first.split("\n");
        assertEquals('^', lines[2].charAt(lines[2].length() - 1));
    }

    @Test
    void everyFaultIsTold() {
        assertEquals(
                List.of("2:1: no such name 'no1', known: i, u, d, b, s, t, h, l, x, gone", "3:4: + of (int, string)"),
                Expression.compile("b &&\nno1 &&\n1  + 'a' == 2", SCOPE, Type.Plain.BOOL, 1_000_000).faults().stream()
                        .map(f -> f.shown().split("\n")[0].split(", expected")[0])
                        .toList());
        assertEquals(
                "1:1: gives int where bool is expected",
                Expression.compile("i", SCOPE, Type.Plain.BOOL, 1_000)
                        .faults()
                        .get(0)
                        .shown()
                        .split("\n")[0]);
    }

    /** Nothing that is too deep, too long or too wide runs out of stack, memory or time. */
    @Test
    void whatIsTooMuchIsRefused() {
        for (String text : List.of(
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
                "(".repeat(5) + "1" + ("+1".repeat(99) + ")").repeat(5) + "+1".repeat(60))) {
            Expression.Compiled c = Expression.compile(text, SCOPE, Type.Plain.DYN, 1_000_000);
            assertTrue(c.expression() == null || text.length() < 2_000, () -> "taken: " + text.substring(0, 40));
        }
        assertEquals(499L, value("1" + "+1".repeat(98) + "+(1" + "+1".repeat(99) + ")+300"));
        assertEquals(true, value("b" + " && b".repeat(400)));
    }

    /** A cost above the budget names the part; comprehensions inside comprehensions multiply. */
    @Test
    void theBoundNamesThePart() {
        String text = "b && l.all(a, l.all(c, l.all(e, l.exists(f, a + c + e + f > 0))))";
        ExpressionFault f = Expression.compile(text, SCOPE, Type.Plain.BOOL, 100_000)
                .faults()
                .get(0);
        assertTrue(f.words().matches("may cost \\d+ units, allowed: 100000"), f.words());
        assertEquals(text.indexOf(".all(a") + 2, f.column());
        assertNotNull(
                Expression.compile(text, SCOPE, Type.Plain.BOOL, 10_000_000).expression());
        Scope large = new Scope().name("m", new Type.ListType(Type.Plain.INT), ValueSize.list(1L << 40, ValueSize.ONE));
        assertTrue(Expression.compile("m.all(a, m.all(c, a == c))", large, Type.Plain.BOOL, 1 << 20)
                .faults()
                .get(0)
                .words()
                .contains("without end"));
    }

    /** An input larger than it was declared ends in an error, not in a stall. */
    @Test
    void aWrongBoundIsAnError() {
        Scope small = new Scope().name("m", new Type.ListType(Type.Plain.INT), ValueSize.list(3, ValueSize.ONE));
        Expression.Compiled c = Expression.compile("m.all(a, m.all(c, a + c > 0))", small, Type.Plain.BOOL, 200);
        List<Object> many = java.util.Collections.nCopies(1_000_000, 1L);
        assertEquals(EvaluationError.COST, c.expression().evaluate(n -> many).value());
        assertEquals(true, c.expression().evaluate(n -> List.of(1L, 2L, 3L)).value());
        assertEquals(Duration.ofMinutes(90), value("duration('1.5h')"));
    }
}
