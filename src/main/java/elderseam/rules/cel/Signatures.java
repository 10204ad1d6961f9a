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

/**
 * The overloads of the functions and operators, by the CEL specification's "List of Standard Definitions". Those whose types depend on
 * one another ({@code ?:}, {@code ==}, {@code !=}, {@code in}, {@code []}, {@code +} of lists) are typed in {@link Checker}.
 *
 * <p>Faults list the overloads in the order in which they are declared here.
 */
final class Signatures {
    /** One overload of a function. */
    record Overload(List<Type> parameters, Type result) {
        /** Whether it can take arguments of these types. */
        boolean accepts(List<Type> arguments) {
            if (parameters.size() != arguments.size()) {
                return false;
            }
            for (int i = 0; i < parameters.size(); i++) {
                if (!Type.areCompatible(arguments.get(i), parameters.get(i))) {
                    return false;
                }
            }
            return true;
        }
    }

    private static final Type LIST = new Type.ListType(DYN);
    private static final Type MAP = new Type.MapType(DYN, DYN);
    private static final List<Type> NUMBERS = List.of(INT, UINT, DOUBLE);

    private static final Map<String, List<Overload>> GLOBAL = new HashMap<>();
    private static final Map<String, List<Overload>> RECEIVER_STYLE = new HashMap<>();

    static {
        declareArithmetic();
        declareLogic();
        declareOrder();
        declareCollectionAndStringFunctions();
        declareConversions();
        declareTimeAccessors();
    }

    private Signatures() {}

    /** The overloads of a function, of calls of either style; empty if there is no such function. */
    static List<Overload> overloads(String function, boolean receiverStyle) {
        return (receiverStyle ? RECEIVER_STYLE : GLOBAL).getOrDefault(function, List.of());
    }

    private static void declare(String function, Type result, Type... parameters) {
        declare(GLOBAL, function, result, parameters);
    }

    private static void declareReceiverStyle(String function, Type result, Type... parameters) {
        declare(RECEIVER_STYLE, function, result, parameters);
    }

    private static void declare(Map<String, List<Overload>> table, String function, Type result, Type... parameters) {
        table.computeIfAbsent(function, name -> new ArrayList<>()).add(new Overload(List.of(parameters), result));
    }

    private static void declareArithmetic() {
        for (Type number : NUMBERS) {
            for (String operator : List.of(Operators.ADD, Operators.SUBTRACT, Operators.MULTIPLY, Operators.DIVIDE)) {
                declare(operator, number, number, number);
            }
        }
        declare(Operators.MODULO, INT, INT, INT);
        declare(Operators.MODULO, UINT, UINT, UINT);
        declare(Operators.NEGATE, INT, INT);
        declare(Operators.NEGATE, DOUBLE, DOUBLE);
        declare(Operators.ADD, STRING, STRING, STRING);
        declare(Operators.ADD, BYTES, BYTES, BYTES);
        declare(Operators.ADD, TIMESTAMP, TIMESTAMP, DURATION);
        declare(Operators.ADD, TIMESTAMP, DURATION, TIMESTAMP);
        declare(Operators.ADD, DURATION, DURATION, DURATION);
        declare(Operators.SUBTRACT, DURATION, TIMESTAMP, TIMESTAMP);
        declare(Operators.SUBTRACT, TIMESTAMP, TIMESTAMP, DURATION);
        declare(Operators.SUBTRACT, DURATION, DURATION, DURATION);
    }

    private static void declareLogic() {
        declare(Operators.LOGICAL_NOT, BOOL, BOOL);
        declare(Operators.LOGICAL_AND, BOOL, BOOL, BOOL);
        declare(Operators.LOGICAL_OR, BOOL, BOOL, BOOL);
    }

    private static void declareOrder() {
        for (String operator :
                List.of(Operators.LESS, Operators.LESS_EQUALS, Operators.GREATER, Operators.GREATER_EQUALS)) {
            for (Type type : List.of(BOOL, INT, UINT, DOUBLE, STRING, BYTES, TIMESTAMP, DURATION)) {
                declare(operator, BOOL, type, type);
            }
            for (Type left : NUMBERS) {
                for (Type right : NUMBERS) {
                    if (left != right) {
                        declare(operator, BOOL, left, right);
                    }
                }
            }
        }
    }

    private static void declareCollectionAndStringFunctions() {
        for (Type type : List.of(STRING, BYTES, LIST, MAP)) {
            declare("size", INT, type);
            declareReceiverStyle("size", INT, type);
        }
        for (String function : List.of("startsWith", "endsWith", "contains", Functions.MATCHES)) {
            declareReceiverStyle(function, BOOL, STRING, STRING);
        }
        declare(Functions.MATCHES, BOOL, STRING, STRING);
    }

    private static void declareConversions() {
        for (Type type : List.of(INT, UINT, DOUBLE, STRING, TIMESTAMP)) {
            declare("int", INT, type);
        }
        for (Type type : List.of(INT, UINT, DOUBLE, STRING)) {
            declare("uint", UINT, type);
            declare("double", DOUBLE, type);
        }
        for (Type type : List.of(BOOL, INT, UINT, DOUBLE, STRING, BYTES, TIMESTAMP, DURATION)) {
            declare("string", STRING, type);
        }
        declare("bytes", BYTES, STRING);
        declare("bytes", BYTES, BYTES);
        declare("bool", BOOL, BOOL);
        declare("bool", BOOL, STRING);
        declare("timestamp", TIMESTAMP, STRING);
        declare("timestamp", TIMESTAMP, TIMESTAMP);
        declare("duration", DURATION, STRING);
        declare("duration", DURATION, DURATION);
        declare("dyn", DYN, DYN);
    }

    private static void declareTimeAccessors() {
        List<String> ofTimestamps = List.of(
                "getFullYear",
                "getMonth",
                "getDayOfYear",
                "getDayOfMonth",
                "getDate",
                "getDayOfWeek",
                "getHours",
                "getMinutes",
                "getSeconds",
                "getMilliseconds");
        for (String accessor : ofTimestamps) {
            declareReceiverStyle(accessor, INT, TIMESTAMP);
            declareReceiverStyle(accessor, INT, TIMESTAMP, STRING);
        }
        for (String accessor : List.of("getHours", "getMinutes", "getSeconds", "getMilliseconds")) {
            declareReceiverStyle(accessor, INT, DURATION);
        }
    }
}
