package elderseam.rules.cel;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** What a compiled expression tells of itself before it is evaluated, and how faults show their place. */
class ExpressionDescriptionTest {
    private static Scope scope() {
        return new Scope()
                .name("request.method", Type.Plain.STRING, ValueSize.text(16))
                .name("b", Type.Plain.BOOL, ValueSize.ONE)
                .name("l", new Type.ListType(Type.Plain.INT), ValueSize.list(4, ValueSize.ONE))
                .open("body", ValueSize.text(16));
    }

    private static Expression compile(String text) {
        return Expression.compile(text, scope(), Type.Plain.DYN, 10_000).expression();
    }

    private static ExpressionFault firstFault(String text) {
        return Expression.compile(text, scope(), Type.Plain.DYN, 10_000)
                .faults()
                .get(0);
    }

    @Test
    void namesAreThoseOfTheScope() {
        assertEquals(
                Set.of("request.method", "body.a.b", "l"),
                compile("l.exists(v, v > 0) && has(body.a.b) && request.method == 'GET'")
                        .names());
    }

    @Test
    void outcomesOfLiteralsAreKnown() {
        assertEquals(List.of("a", "b", "c"), compile("b ? 'a' : b ? 'b' : 'c'").outcomes());
        assertEquals(
                List.of(Duration.ofMinutes(90)), compile("duration('1h30m')").outcomes());
        assertNull(compile("b ? 'a' : request.method").outcomes());
    }

    @Test
    void explainListsEachNodeWithTypeAndCost() {
        String explained = compile("b && has(body.a)").explain();
        List<List<String>> cells = explained
                .lines()
                .map(line -> List.of(line.strip().split(" {2,}")))
                .toList();
        assertEquals(
                List.of(
                        List.of("&&", "bool", "4"),
                        List.of("b", "bool", "1"),
                        List.of("has", "bool", "2"),
                        List.of("body.a", "dyn", "1")),
                cells);
    }

    @Test
    void faultShowsItsLineAndPlace() {
        ExpressionFault fault = firstFault("b &&\n\tno1");
        assertEquals(2, fault.line());
        assertEquals(2, fault.column());
        assertEquals("\tno1", fault.source());
        assertEquals(List.of("   no1", "   ^"), fault.describe().lines().skip(1).toList());
    }

    @Test
    void faultShowsThePartOfALongLineAroundItsPlace() {
        ExpressionFault fault = firstFault("b " + "&& b ".repeat(60) + "&& no1 " + "|| b ".repeat(60));
        List<String> lines = fault.describe().lines().toList();
        assertEquals(122, lines.get(1).length());
        int place = lines.get(2).indexOf('^');
        assertEquals("no1", lines.get(1).substring(place, place + 3));
    }
}
