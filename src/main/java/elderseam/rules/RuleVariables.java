package elderseam.rules;

import static elderseam.rules.cel.Type.Plain.BOOL;
import static elderseam.rules.cel.Type.Plain.DOUBLE;
import static elderseam.rules.cel.Type.Plain.DURATION;
import static elderseam.rules.cel.Type.Plain.INT;
import static elderseam.rules.cel.Type.Plain.STRING;
import static elderseam.rules.cel.Type.Plain.TIMESTAMP;

import elderseam.rules.cel.Scope;
import elderseam.rules.cel.Type;
import elderseam.rules.cel.ValueSize;

/**
 * The variables of rules: their names, types and maximum sizes. The constants are the variables' numbers in the {@link
 * Scope}, by which {@link RuleInput} is asked for their values; fields of a body are numbered from {@link #COUNT} on.
 */
final class RuleVariables {
    static final int FRONT = 0;
    static final int METHOD = 1;
    static final int PATH = 2;
    static final int HEADERS = 3;
    static final int SOURCE = 4;
    static final int SIZE = 5;
    static final int ID = 6;
    static final int CLASS = 7;
    static final int TENANT = 8;
    static final int DESTINATION = 9;
    static final int REMAINING = 10;
    static final int RESENT = 11;
    static final int KEY = 12;
    static final int EVENT = 13;
    static final int RATE = 14;
    static final int SHARE = 15;
    static final int BREAKER = 16;
    static final int IN_FLIGHT = 17;
    static final int WAIT = 18;
    static final int HELD = 19;
    static final int NOW = 20;
    static final int YEAR = 21;
    static final int MONTH = 22;
    static final int DAY = 23;
    static final int HOUR = 24;
    static final int MINUTE = 25;
    static final int WEEKDAY = 26;
    static final int DAYS_LEFT = 27;
    static final int COUNT = 28;

    /** Longest value of a variable such as a name or an id. */
    private static final int MAX_WORD_CHARS = 64;

    /** Longest idempotency key of a client. */
    private static final int MAX_CLIENT_KEY_CHARS = 256;

    private RuleVariables() {}

    /** A new scope that declares all variables; expressions compiled against it add the body fields that they read. */
    static Scope scope(RuleLimits limits) {
        Type stringMap = new Type.MapType(STRING, STRING);
        ValueSize word = ValueSize.text(MAX_WORD_CHARS);
        ValueSize line = ValueSize.text(RuleLimits.MAX_HEADER_CHARS);
        ValueSize headers = ValueSize.list(RuleLimits.MAX_HEADERS, line);
        ValueSize attributes = ValueSize.list(RuleLimits.MAX_ATTRIBUTES, line);
        Scope scope = new Scope();
        declare(scope, FRONT, "request.front", STRING, word);
        declare(scope, METHOD, "request.method", STRING, word);
        declare(scope, PATH, "request.path", STRING, line);
        declare(scope, HEADERS, "request.headers", stringMap, headers);
        declare(scope, SOURCE, "request.source", STRING, word);
        declare(scope, SIZE, "request.size", INT, ValueSize.ONE);
        declare(scope, ID, "message.id", STRING, word);
        declare(scope, CLASS, "message.class", STRING, word);
        declare(scope, TENANT, "message.tenant", STRING, word);
        declare(scope, DESTINATION, "message.destination", INT, ValueSize.ONE);
        declare(scope, REMAINING, "message.remaining", DURATION, ValueSize.ONE);
        declare(scope, RESENT, "message.resent", BOOL, ValueSize.ONE);
        declare(scope, KEY, "message.key", STRING, ValueSize.text(MAX_CLIENT_KEY_CHARS));
        declare(scope, EVENT, "event", stringMap, attributes);
        declareState(scope, word);
        declareTime(scope);
        return scope.open("body", ValueSize.any(limits.maxFieldChars(), limits.maxListItems(), limits.maxBodyDepth()));
    }

    private static void declareState(Scope scope, ValueSize word) {
        declare(scope, RATE, "state.rate", DOUBLE, ValueSize.ONE);
        declare(scope, SHARE, "state.share", DOUBLE, ValueSize.ONE);
        declare(scope, BREAKER, "state.breaker", STRING, word);
        declare(scope, IN_FLIGHT, "state.in_flight", INT, ValueSize.ONE);
        declare(scope, WAIT, "state.wait", DURATION, ValueSize.ONE);
        declare(scope, HELD, "state.held", INT, ValueSize.ONE);
    }

    private static void declareTime(Scope scope) {
        declare(scope, NOW, "now", TIMESTAMP, ValueSize.ONE);
        declare(scope, YEAR, "local.year", INT, ValueSize.ONE);
        declare(scope, MONTH, "local.month", INT, ValueSize.ONE);
        declare(scope, DAY, "local.day", INT, ValueSize.ONE);
        declare(scope, HOUR, "local.hour", INT, ValueSize.ONE);
        declare(scope, MINUTE, "local.minute", INT, ValueSize.ONE);
        declare(scope, WEEKDAY, "local.weekday", INT, ValueSize.ONE);
        declare(scope, DAYS_LEFT, "local.days_left", INT, ValueSize.ONE);
    }

    /** Declares a variable. Scopes number them in the order of declaration, which has to be that of the constants. */
    private static void declare(Scope scope, int number, String name, Type type, ValueSize maxSize) {
        scope.name(name, type, maxSize);
        if (scope.number(name) != number) {
            throw new IllegalStateException(name + " is declared out of order");
        }
    }

    /** Whether duplicates of a message may see different values of a variable, so that no key may depend on it. */
    static boolean differsBetweenDuplicates(String name) {
        return name.startsWith("state.")
                || name.startsWith("local.")
                || name.equals("now")
                || name.equals("message.remaining")
                || name.equals("message.resent")
                || name.equals("message.id");
    }
}
