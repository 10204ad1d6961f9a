package elderseam.rules.cel;

import static elderseam.rules.cel.Type.Plain.BOOL;
import static elderseam.rules.cel.Type.Plain.BYTES;
import static elderseam.rules.cel.Type.Plain.DOUBLE;
import static elderseam.rules.cel.Type.Plain.DURATION;
import static elderseam.rules.cel.Type.Plain.DYN;
import static elderseam.rules.cel.Type.Plain.INT;
import static elderseam.rules.cel.Type.Plain.STRING;
import static elderseam.rules.cel.Type.Plain.TIMESTAMP;
import static elderseam.rules.cel.Type.Plain.UINT;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Which functions and operators there are, for which types. Operators are functions; "()" before a name makes it a method. */
final class Signatures {
    record Signature(List<Type> takes, Type gives) {}

    private static final Type LIST = new Type.ListType(DYN), MAP = new Type.MapType(DYN, DYN);
    private static final Map<String, List<Signature>> ALL = new HashMap<>();

    private Signatures() {}

    static List<Signature> of(String function, boolean method) {
        return ALL.getOrDefault(method ? "()" + function : function, List.of());
    }

    private static void put(String function, Type gives, Type... takes) {
        ALL.computeIfAbsent(function, f -> new ArrayList<>()).add(new Signature(List.of(takes), gives));
    }

    static {
        for (Type t : List.of(INT, UINT, DOUBLE)) {
            for (String f : List.of("+", "-", "*", "/")) {
                put(f, t, t, t);
            }
        }
        put("%", INT, INT, INT);
        put("%", UINT, UINT, UINT);
        put("-_", INT, INT);
        put("-_", DOUBLE, DOUBLE);
        put("!_", BOOL, BOOL);
        put("&&", BOOL, BOOL, BOOL);
        put("||", BOOL, BOOL, BOOL);
        put("+", STRING, STRING, STRING);
        put("+", BYTES, BYTES, BYTES);
        put("+", TIMESTAMP, TIMESTAMP, DURATION);
        put("+", TIMESTAMP, DURATION, TIMESTAMP);
        put("+", DURATION, DURATION, DURATION);
        put("-", DURATION, TIMESTAMP, TIMESTAMP);
        put("-", TIMESTAMP, TIMESTAMP, DURATION);
        put("-", DURATION, DURATION, DURATION);
        for (String f : List.of("<", "<=", ">", ">=")) {
            for (Type t : List.of(BOOL, INT, UINT, DOUBLE, STRING, BYTES, TIMESTAMP, DURATION)) {
                put(f, BOOL, t, t);
            }
            for (Type a : List.of(INT, UINT, DOUBLE)) {
                for (Type b : List.of(INT, UINT, DOUBLE)) {
                    if (a != b) {
                        put(f, BOOL, a, b);
                    }
                }
            }
        }
        for (Type t : List.of(STRING, BYTES, LIST, MAP)) {
            put("size", INT, t);
            put("()size", INT, t);
        }
        for (String f : List.of("startsWith", "endsWith", "contains", "matches")) {
            put("()" + f, BOOL, STRING, STRING);
        }
        put("matches", BOOL, STRING, STRING);
        conversions();
        for (String f : List.of(
                "getFullYear",
                "getMonth",
                "getDayOfYear",
                "getDayOfMonth",
                "getDate",
                "getDayOfWeek",
                "getHours",
                "getMinutes",
                "getSeconds",
                "getMilliseconds")) {
            put("()" + f, INT, TIMESTAMP);
            put("()" + f, INT, TIMESTAMP, STRING);
        }
        for (String f : List.of("getHours", "getMinutes", "getSeconds", "getMilliseconds")) {
            put("()" + f, INT, DURATION);
        }
    }

    private static void conversions() {
        for (Type t : List.of(INT, UINT, DOUBLE, STRING, TIMESTAMP)) {
            put("int", INT, t);
        }
        for (Type t : List.of(INT, UINT, DOUBLE, STRING)) {
            put("uint", UINT, t);
            put("double", DOUBLE, t);
        }
        for (Type t : List.of(BOOL, INT, UINT, DOUBLE, STRING, BYTES, TIMESTAMP, DURATION)) {
            put("string", STRING, t);
        }
        put("bytes", BYTES, STRING);
        put("bytes", BYTES, BYTES);
        put("bool", BOOL, BOOL);
        put("bool", BOOL, STRING);
        put("timestamp", TIMESTAMP, STRING);
        put("timestamp", TIMESTAMP, TIMESTAMP);
        put("duration", DURATION, STRING);
        put("duration", DURATION, DURATION);
        put("dyn", DYN, DYN);
    }
}
