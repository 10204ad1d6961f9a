package elderseam.rules.cel;

import static elderseam.rules.cel.Type.Plain.BOOL;
import static elderseam.rules.cel.Type.Plain.BYTES;
import static elderseam.rules.cel.Type.Plain.DOUBLE;
import static elderseam.rules.cel.Type.Plain.DYN;
import static elderseam.rules.cel.Type.Plain.INT;
import static elderseam.rules.cel.Type.Plain.NULL;
import static elderseam.rules.cel.Type.Plain.STRING;
import static elderseam.rules.cel.Type.Plain.UINT;

import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The type checker: gives each node of a resolved tree its type, and collects all faults. A node with a fault counts as {@code DYN}, so
 * that the fault isn't reported again for the nodes around it.
 */
final class Checker {
    private static final List<Type> KEY_TYPES = List.of(BOOL, INT, UINT, STRING, DYN);

    private final String text;
    private final Scope scope;
    private final VariableBindings<Type> variables = new VariableBindings<>();
    private final IdentityHashMap<Ast, Type> types = new IdentityHashMap<>();
    private final List<ExpressionFault> faults = new ArrayList<>();

    private Checker(String text, Scope scope) {
        this.text = text;
        this.scope = scope;
    }

    /** The type of each node, by identity. Throws with all faults; one is that the expression doesn't give the expected type. */
    static Map<Ast, Type> check(String text, Ast tree, Scope scope, Type expected) throws ExpressionException {
        Checker checker = new Checker(text, scope);
        Type type = checker.type(tree);
        checker.checkGives(tree, type, expected);
        if (!checker.faults.isEmpty()) {
            throw new ExpressionException(List.copyOf(checker.faults));
        }
        return checker.types;
    }

    /** Records a fault. Returns the type that its node counts as. */
    private Type fault(Ast node, String message) {
        faults.add(ExpressionFault.at(text, node.position(), message));
        return DYN;
    }

    private boolean checkGives(Ast node, Type type, Type expected) {
        boolean isCompatible = Type.areCompatible(type, expected);
        if (!isCompatible) {
            fault(node, "gives " + type + " where " + expected + " is expected");
        }
        return isCompatible;
    }

    private Type type(Ast node) {
        Type type = typeOf(node);
        types.put(node, type);
        return type;
    }

    private List<Type> types(List<Ast> nodes) {
        List<Type> all = new ArrayList<>(nodes.size());
        for (Ast node : nodes) {
            all.add(type(node));
        }
        return all;
    }

    private Type typeOf(Ast node) {
        if (node instanceof Ast.Literal literal) {
            return literal(literal.value());
        }
        if (node instanceof Ast.Identifier identifier) {
            return identifier(identifier);
        }
        if (node instanceof Ast.Select select) {
            return select(select);
        }
        if (node instanceof Ast.PresenceTest test) {
            type(test.field());
            return BOOL;
        }
        if (node instanceof Ast.Call call) {
            return call(call);
        }
        if (node instanceof Ast.CreateList list) {
            return new Type.ListType(Type.join(types(list.items())));
        }
        return node instanceof Ast.CreateMap map ? map(map) : comprehension((Ast.Comprehension) node);
    }

    private static Type literal(Object value) {
        if (value instanceof Boolean) {
            return BOOL;
        }
        if (value instanceof Long) {
            return INT;
        }
        if (value instanceof UnsignedLong) {
            return UINT;
        }
        if (value instanceof Double) {
            return DOUBLE;
        }
        if (value instanceof String) {
            return STRING;
        }
        return value instanceof ByteSequence ? BYTES : NULL;
    }

    private Type identifier(Ast.Identifier identifier) {
        String name = identifier.name();
        Type variable = variables.get(name);
        if (variable != null) {
            return variable;
        }
        Scope.Declaration declaration = scope.get(name);
        if (declaration != null) {
            return declaration.type();
        }
        if (scope.isOpen(name)) {
            return fault(identifier, "all of '" + name + "', expected a field of it, such as " + name + ".a");
        }
        String known = String.join(", ", scope.all().keySet());
        return fault(identifier, "no such name '" + name + "', known: " + known);
    }

    private Type select(Ast.Select select) {
        Type operand = type(select.operand());
        if (operand instanceof Type.MapType map && Type.areCompatible(STRING, map.key())) {
            return select.testOnly() ? BOOL : map.value();
        }
        if (operand == DYN) {
            return select.testOnly() ? BOOL : DYN;
        }
        return fault(select, "." + select.field() + " of " + operand + ", expected a map with string keys");
    }

    private Type map(Ast.CreateMap map) {
        List<Type> keys = types(map.keys());
        for (int i = 0; i < keys.size(); i++) {
            if (!KEY_TYPES.contains(keys.get(i))) {
                fault(map.keys().get(i), "a key of " + keys.get(i) + ", expected bool, int, uint or string");
            }
        }
        return new Type.MapType(Type.join(keys), Type.join(types(map.values())));
    }

    private Type comprehension(Ast.Comprehension comprehension) {
        Type item = rangeItem(comprehension);
        Type hidden = variables.bind(comprehension.variable(), item);
        Type filter = comprehension.filter() == null ? BOOL : type(comprehension.filter());
        Type body = type(comprehension.body());
        variables.unbind(comprehension.variable(), hidden);
        Macro macro = comprehension.macro();
        if (!checkGives(comprehension.filter(), filter, BOOL)) {
            return DYN;
        }
        if (macro != Macro.MAP && !checkGives(comprehension.body(), body, BOOL)) {
            return DYN;
        }
        if (macro == Macro.MAP) {
            return new Type.ListType(body);
        }
        return macro == Macro.FILTER ? new Type.ListType(item) : BOOL;
    }

    /** The type of what a comprehension's variable stands for: the items of a list, the keys of a map. */
    private Type rangeItem(Ast.Comprehension comprehension) {
        Type range = type(comprehension.range());
        if (range instanceof Type.ListType list) {
            return list.item();
        }
        if (range instanceof Type.MapType map) {
            return map.key();
        }
        return range == DYN
                ? DYN
                : fault(comprehension, comprehension.macro() + " over " + range + ", expected a list or a map");
    }

    // ---------------------------------------------------------------- calls

    private Type call(Ast.Call call) {
        List<Type> arguments = types(call.arguments());
        return switch (call.function()) {
            case Operators.CONDITIONAL -> conditional(call, arguments);
            case Operators.EQUALS, Operators.NOT_EQUALS -> equality(call, arguments);
            case Operators.IN -> in(call, arguments);
            case Operators.INDEX -> index(call, arguments);
            case Operators.ADD -> addition(call, arguments);
            default -> overload(call, arguments);
        };
    }

    private Type conditional(Ast.Call call, List<Type> arguments) {
        if (!checkGives(call.argument(0), arguments.get(0), BOOL)) {
            return DYN;
        }
        Type whenTrue = arguments.get(1);
        Type whenFalse = arguments.get(2);
        return Type.areCompatible(whenTrue, whenFalse)
                ? Type.join(arguments.subList(1, 3))
                : fault(call, "gives " + whenTrue + " or " + whenFalse + ", expected one type");
    }

    private Type equality(Ast.Call call, List<Type> arguments) {
        Type left = arguments.get(0);
        Type right = arguments.get(1);
        return Type.areCompatible(left, right) || arguments.contains(NULL)
                ? BOOL
                : fault(call, call.function() + " of " + left + " and " + right + ", expected one type");
    }

    private Type in(Ast.Call call, List<Type> arguments) {
        Type item = arguments.get(0);
        Type range = arguments.get(1);
        boolean isCompatible = range == DYN
                || (range instanceof Type.ListType list && Type.areCompatible(item, list.item()))
                || (range instanceof Type.MapType map && Type.areCompatible(item, map.key()));
        return isCompatible ? BOOL : fault(call, item + " in " + range + ", expected a list or a map of such");
    }

    private Type index(Ast.Call call, List<Type> arguments) {
        Type operand = arguments.get(0);
        Type index = arguments.get(1);
        if (operand instanceof Type.ListType list && Type.areCompatible(index, INT)) {
            return list.item();
        }
        if (operand instanceof Type.MapType map && Type.areCompatible(index, map.key())) {
            return map.value();
        }
        return operand == DYN
                ? DYN
                : fault(call, operand + "[" + index + "], expected a list and int, or a map and its key");
    }

    /** {@code +}: of lists it gives a list of what both hold; all else is in the table of overloads. */
    private Type addition(Ast.Call call, List<Type> arguments) {
        int lists = 0;
        int unknown = 0;
        for (Type argument : arguments) {
            lists += argument instanceof Type.ListType ? 1 : 0;
            unknown += argument == DYN ? 1 : 0;
        }
        if (lists == arguments.size()) {
            return Type.join(arguments);
        }
        return lists + unknown == arguments.size() ? DYN : overload(call, arguments);
    }

    private Type overload(Ast.Call call, List<Type> arguments) {
        List<Signatures.Overload> overloads = Signatures.overloads(call.function(), call.receiverStyle());
        if (overloads.isEmpty()) {
            return fault(
                    call, "no such " + (call.receiverStyle() ? "method" : "function") + " '" + call.function() + "'");
        }
        List<Type> results = new ArrayList<>();
        for (Signatures.Overload overload : overloads) {
            if (overload.accepts(arguments)) {
                results.add(overload.result());
            }
        }
        if (results.isEmpty()) {
            return fault(
                    call, name(call) + " of " + describe(arguments) + ", expected " + describeParameters(overloads));
        }
        ConstantArguments.fault(call).ifPresent(message -> fault(ConstantArguments.last(call), message));
        return Type.join(results);
    }

    private static String describeParameters(List<Signatures.Overload> overloads) {
        Set<String> distinct = new LinkedHashSet<>();
        for (Signatures.Overload overload : overloads) {
            distinct.add(describe(overload.parameters()));
        }
        return String.join(" or ", distinct);
    }

    private static String describe(List<Type> types) {
        return "(" + String.join(", ", types.stream().map(Type::toString).toList()) + ")";
    }

    /** The function as it is written: unary operators stand in the tree with {@code _} behind them. */
    private static String name(Ast.Call call) {
        String function = call.function();
        return function.endsWith("_") ? function.substring(0, 1) : function;
    }
}
