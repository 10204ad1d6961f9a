package elderseam.rules.cel;

import com.google.re2j.PatternSyntaxException;
import java.time.DateTimeException;
import java.time.ZoneId;
import java.util.Optional;

/**
 * Checks arguments that are literals when an expression is compiled, instead of when a request comes: patterns, which must be literals,
 * and timestamps, durations and time zones, which may be.
 */
final class ConstantArguments {
    private ConstantArguments() {}

    /** The argument that is checked. */
    static Ast last(Ast.Call call) {
        return call.argument(call.arguments().size() - 1);
    }

    /** What is wrong with the last argument of a call; empty if nothing is, or only evaluation can tell. */
    static Optional<String> fault(Ast.Call call) {
        String literal =
                last(call) instanceof Ast.Literal last && last.value() instanceof String string ? string : null;
        if (call.is(Functions.MATCHES) && literal == null) {
            return Optional.of("a pattern that is not constant, expected a string literal");
        }
        if (literal == null) {
            return Optional.empty();
        }
        try {
            return literalFault(call, literal);
        } catch (PatternSyntaxException | DateTimeException e) {
            return Optional.of(e.getMessage());
        }
    }

    private static Optional<String> literalFault(Ast.Call call, String literal) {
        if (call.is(Functions.MATCHES)) {
            Functions.pattern(literal);
        } else if (call.is("timestamp")) {
            TimeFunctions.timestamp(literal);
        } else if (call.is("duration") && TimeFunctions.duration(literal).isEmpty()) {
            return Optional.of("no duration, expected such as \"1h30m\"");
        } else if (Functions.isTimeAccessor(call.function()) && call.arguments().size() == 2) {
            ZoneId.of(literal);
        }
        return Optional.empty();
    }
}
