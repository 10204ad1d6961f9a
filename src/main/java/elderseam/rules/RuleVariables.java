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

/** The names that rules may use; their numbers are those of the constants, fields of a body follow. */
final class RuleVariables {
    static final int FRONT = 0,
            METHOD = 1,
            PATH = 2,
            HEADERS = 3,
            SOURCE = 4,
            SIZE = 5,
            ID = 6,
            CLASS = 7,
            TENANT = 8,
            DESTINATION = 9,
            REMAINING = 10,
            RESENT = 11,
            KEY = 12,
            EVENT = 13,
            RATE = 14,
            SHARE = 15,
            BREAKER = 16,
            IN_FLIGHT = 17,
            WAIT = 18,
            HELD = 19,
            NOW = 20,
            YEAR = 21,
            MONTH = 22,
            DAY = 23,
            HOUR = 24,
            MINUTE = 25,
            WEEKDAY = 26,
            DAYS_LEFT = 27,
            NAMES = 28;

    private RuleVariables() {}

    static Scope scope(RuleLimits e) {
        Type texts = new Type.MapType(STRING, STRING);
        ValueSize word = ValueSize.text(64), line = ValueSize.text(RuleLimits.HEADER_CHARS);
        Scope s = new Scope()
                .name("request.front", STRING, word)
                .name("request.method", STRING, word)
                .name("request.path", STRING, line)
                .name("request.headers", texts, ValueSize.list(RuleLimits.HEADERS, line))
                .name("request.source", STRING, word)
                .name("request.size", INT, ValueSize.ONE)
                .name("message.id", STRING, word)
                .name("message.class", STRING, word)
                .name("message.tenant", STRING, word)
                .name("message.destination", INT, ValueSize.ONE)
                .name("message.remaining", DURATION, ValueSize.ONE)
                .name("message.resent", BOOL, ValueSize.ONE)
                .name("message.key", STRING, ValueSize.text(256))
                .name("event", texts, ValueSize.list(RuleLimits.ATTRIBUTES, line))
                .name("state.rate", DOUBLE, ValueSize.ONE)
                .name("state.share", DOUBLE, ValueSize.ONE)
                .name("state.breaker", STRING, word)
                .name("state.in_flight", INT, ValueSize.ONE)
                .name("state.wait", DURATION, ValueSize.ONE)
                .name("state.held", INT, ValueSize.ONE)
                .name("now", TIMESTAMP, ValueSize.ONE);
        for (String part : new String[] {"year", "month", "day", "hour", "minute", "weekday", "days_left"}) {
            s.name("local." + part, INT, ValueSize.ONE);
        }
        return s.open("body", ValueSize.any(e.fieldChars(), e.listItems(), e.bodyDepth()));
    }

    /** Whether a name's value is another for each of two copies of one message. */
    static boolean passing(String name) {
        return name.startsWith("state.")
                || name.startsWith("local.")
                || name.equals("now")
                || name.equals("message.remaining")
                || name.equals("message.resent")
                || name.equals("message.id");
    }
}
