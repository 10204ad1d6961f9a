package elderseam.rules;

import static elderseam.rules.lang.Type.Plain.BOOL;
import static elderseam.rules.lang.Type.Plain.DOUBLE;
import static elderseam.rules.lang.Type.Plain.DURATION;
import static elderseam.rules.lang.Type.Plain.INT;
import static elderseam.rules.lang.Type.Plain.STRING;
import static elderseam.rules.lang.Type.Plain.TIMESTAMP;

import elderseam.rules.lang.Scope;
import elderseam.rules.lang.Size;
import elderseam.rules.lang.Type;

/** The names that rules may use; their numbers are those of the constants, fields of a body follow. */
final class Vocabulary {
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

    private Vocabulary() {}

    static Scope scope(Extent e) {
        Type texts = new Type.MapType(STRING, STRING);
        Size word = Size.text(64), line = Size.text(Extent.HEADER_CHARS);
        Scope s = new Scope()
                .name("request.front", STRING, word)
                .name("request.method", STRING, word)
                .name("request.path", STRING, line)
                .name("request.headers", texts, Size.list(Extent.HEADERS, line))
                .name("request.source", STRING, word)
                .name("request.size", INT, Size.ONE)
                .name("message.id", STRING, word)
                .name("message.class", STRING, word)
                .name("message.tenant", STRING, word)
                .name("message.destination", INT, Size.ONE)
                .name("message.remaining", DURATION, Size.ONE)
                .name("message.resent", BOOL, Size.ONE)
                .name("message.key", STRING, Size.text(256))
                .name("event", texts, Size.list(Extent.ATTRIBUTES, line))
                .name("state.rate", DOUBLE, Size.ONE)
                .name("state.share", DOUBLE, Size.ONE)
                .name("state.breaker", STRING, word)
                .name("state.in_flight", INT, Size.ONE)
                .name("state.wait", DURATION, Size.ONE)
                .name("state.held", INT, Size.ONE)
                .name("now", TIMESTAMP, Size.ONE);
        for (String part : new String[] {"year", "month", "day", "hour", "minute", "weekday", "days_left"}) {
            s.name("local." + part, INT, Size.ONE);
        }
        return s.open("body", Size.any(e.fieldChars(), e.listItems(), e.bodyDepth()));
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
