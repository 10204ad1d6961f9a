package elderseam.rules.cel;

import static elderseam.rules.cel.Type.Plain.BOOL;
import static elderseam.rules.cel.Type.Plain.DOUBLE;
import static elderseam.rules.cel.Type.Plain.DYN;
import static elderseam.rules.cel.Type.Plain.INT;
import static elderseam.rules.cel.Type.Plain.STRING;

import com.google.re2j.Pattern;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Compiles a checked tree to a {@link Program}. Where the types of operands are known, their steps are made for those types; all other
 * calls go through {@link Functions}, on boxed values. Parts that use no name are evaluated here, once (constant folding).
 */
final class Planner {
    private final Map<Ast, Type> types;
    private final Scope scope;
    private final Map<Ast, Pattern> patterns;
    /** The slots of variables in {@link EvaluationInputs#variables}. */
    private final VariableBindings<Integer> slots = new VariableBindings<>();

    private int boundVariables;

    private Planner(Map<Ast, Type> types, Scope scope, Map<Ast, Pattern> patterns) {
        this.types = types;
        this.scope = scope;
        this.patterns = patterns;
    }

    /**
     * Compiles a tree; {@code types} and {@code patterns} by the identity of nodes.
     *
     * @param patterns of calls of {@link Functions#MATCHES}
     * @param budget most units that one evaluation may cost
     */
    static Program plan(Ast tree, Map<Ast, Type> types, Scope scope, Map<Ast, Pattern> patterns, long budget) {
        Planner planner = new Planner(types, scope, patterns);
        Type type = types.get(tree);
        return new Program(
                planner.planValue(tree),
                type == BOOL || type == DYN ? planner.planBool(tree) : inputs -> false,
                type == INT || type == DYN ? planner.planInt(tree) : inputs -> 0,
                type == DOUBLE || type == DYN ? planner.planDouble(tree) : inputs -> 0,
                budget);
    }

    // ---------------------------------------------------------------- variables and types

    /** Gives a comprehension's variable a slot. Returns what it hides, for {@link #unbindVariable}; null for nothing. */
    Integer bindVariable(String name) {
        Integer hidden = slots.bind(name, boundVariables);
        boundVariables++;
        return hidden;
    }

    /** The slot of a bound variable. */
    int slot(String variable) {
        return slots.get(variable);
    }

    void unbindVariable(String name, Integer hidden) {
        boundVariables--;
        slots.unbind(name, hidden);
    }

    private boolean isVariable(Ast node) {
        return node instanceof Ast.Identifier identifier && slots.get(identifier.name()) != null;
    }

    /** Whether the node is a name of the scope, of a type. */
    private boolean isName(Ast node, Type type) {
        return node instanceof Ast.Identifier && !isVariable(node) && hasType(node, type);
    }

    private int number(Ast identifier) {
        return scope.number(((Ast.Identifier) identifier).name());
    }

    private boolean hasType(Ast node, Type type) {
        return types.get(node) == type;
    }

    private boolean hasTwoOperandsOf(Ast.Call call, Type type) {
        return call.arguments().size() == 2 && hasType(call.argument(0), type) && hasType(call.argument(1), type);
    }

    // ---------------------------------------------------------------- bools

    /** A step that gives an unboxed bool; it fails for other values. */
    BoolStep planBool(Ast node) {
        if (node instanceof Ast.Literal literal && literal.value() instanceof Boolean value) {
            return value ? inputs -> true : inputs -> false;
        }
        if (isName(node, BOOL)) {
            int number = number(node);
            return inputs -> inputs.boolValue(number);
        }
        if (node instanceof Ast.PresenceTest test) {
            int number = number(test.field());
            return inputs -> inputs.isPresent(number);
        }
        if (node instanceof Ast.Comprehension comprehension
                && !comprehension.macro().givesList()) {
            return new ComprehensionEvaluator(this, comprehension);
        }
        Optional<BoolStep> step = node instanceof Ast.Call call ? planBoolCall(call) : Optional.empty();
        return step.orElseGet(() -> unboxedBool(planBoxed(node)));
    }

    private static BoolStep unboxedBool(ValueStep step) {
        return inputs -> inputs.unbox(valueOrError(inputs, step.evaluate(inputs)), false);
    }

    /** A value of a step; its error if it failed, which then stays the evaluation's error. */
    private static Object valueOrError(EvaluationInputs inputs, Object value) {
        return value == null && inputs.error != null ? inputs.error : value;
    }

    /** A step made for the types of a call's arguments, if there is one for them. */
    private Optional<BoolStep> planBoolCall(Ast.Call call) {
        return switch (call.function()) {
            case Operators.LOGICAL_AND ->
                Optional.of(LogicalSteps.logical(boolArgument(call, 0), boolArgument(call, 1), false));
            case Operators.LOGICAL_OR ->
                Optional.of(LogicalSteps.logical(boolArgument(call, 0), boolArgument(call, 1), true));
            case Operators.LOGICAL_NOT -> Optional.of(LogicalSteps.not(boolArgument(call, 0)));
            case Operators.CONDITIONAL ->
                Optional.of(LogicalSteps.conditionalBool(
                        boolArgument(call, 0), boolArgument(call, 1), boolArgument(call, 2)));
            case Operators.EQUALS,
                    Operators.NOT_EQUALS,
                    Operators.LESS,
                    Operators.LESS_EQUALS,
                    Operators.GREATER,
                    Operators.GREATER_EQUALS -> planComparison(call);
            case "startsWith", "endsWith", "contains" ->
                hasTwoOperandsOf(call, STRING) ? Optional.of(planTextTest(call)) : Optional.empty();
            case Functions.MATCHES -> planMatches(call);
            case Operators.IN -> planIn(call);
            default -> Optional.empty();
        };
    }

    private BoolStep boolArgument(Ast.Call call, int index) {
        return planBool(call.argument(index));
    }

    private BoolStep planTextTest(Ast.Call call) {
        ValueStep receiver = planValue(call.argument(0));
        ValueStep argument = planValue(call.argument(1));
        return switch (call.function()) {
            case "startsWith" -> StringSteps.startsWith(receiver, argument);
            case "endsWith" -> StringSteps.endsWith(receiver, argument);
            default -> StringSteps.contains(receiver, argument);
        };
    }

    private Optional<BoolStep> planMatches(Ast.Call call) {
        Ast text = call.argument(0);
        return hasType(text, STRING)
                ? Optional.of(StringSteps.matches(planValue(text), patterns.get(call)))
                : Optional.empty();
    }

    private Optional<BoolStep> planIn(Ast.Call call) {
        Ast item = call.argument(0);
        Ast range = call.argument(1);
        if (!hasType(item, STRING) || !isConstant(range)) {
            return Optional.empty();
        }
        // a constant that ends in an error does so at each evaluation
        return fold(range) instanceof List<?> list
                ? Optional.of(StringSteps.in(planValue(item), list))
                : Optional.empty();
    }

    private Optional<BoolStep> planComparison(Ast.Call call) {
        String operator = call.function();
        Ast left = call.argument(0);
        Ast right = call.argument(1);
        if (hasTwoOperandsOf(call, INT)) {
            return Optional.of(NumberSteps.compareInts(operator, planInt(left), planInt(right)));
        }
        if (hasTwoOperandsOf(call, DOUBLE)) {
            return Optional.of(NumberSteps.compareDoubles(operator, planDouble(left), planDouble(right)));
        }
        boolean isEquality = operator.equals(Operators.EQUALS) || operator.equals(Operators.NOT_EQUALS);
        boolean isOfStrings = hasType(left, STRING) || hasType(right, STRING);
        if (!isEquality || !isOfStrings) {
            return Optional.empty();
        }
        boolean expected = operator.equals(Operators.EQUALS);
        return Optional.of(StringSteps.equality(planValue(left), planValue(right), expected));
    }

    // ---------------------------------------------------------------- numbers

    /** A step that gives an unboxed int; it fails for other values. */
    IntStep planInt(Ast node) {
        if (node instanceof Ast.Literal literal && literal.value() instanceof Long value) {
            return inputs -> value;
        }
        if (isName(node, INT)) {
            int number = number(node);
            return inputs -> inputs.intValue(number);
        }
        Optional<IntStep> step = node instanceof Ast.Call call ? planIntCall(call) : Optional.empty();
        return step.orElseGet(() -> unboxedInt(planBoxed(node)));
    }

    private static IntStep unboxedInt(ValueStep step) {
        return inputs -> inputs.unbox(valueOrError(inputs, step.evaluate(inputs)), 0L);
    }

    /** A step made for the types of a call's arguments, if there is one for them. */
    private Optional<IntStep> planIntCall(Ast.Call call) {
        if (call.is(Operators.CONDITIONAL)) {
            return Optional.of(LogicalSteps.conditionalInt(
                    planBool(call.argument(0)), planInt(call.argument(1)), planInt(call.argument(2))));
        }
        if (hasTwoOperandsOf(call, INT) && Operators.isArithmetic(call.function())) {
            char operator = call.function().charAt(0);
            return Optional.of(
                    NumberSteps.intArithmetic(operator, planInt(call.argument(0)), planInt(call.argument(1))));
        }
        boolean isSizeOfString = call.is("size") && hasType(call.argument(0), STRING);
        return isSizeOfString ? Optional.of(StringSteps.size(planValue(call.argument(0)))) : Optional.empty();
    }

    /** A step that gives an unboxed double; it fails for other values. */
    DoubleStep planDouble(Ast node) {
        if (node instanceof Ast.Literal literal && literal.value() instanceof Double value) {
            return inputs -> value;
        }
        if (isName(node, DOUBLE)) {
            int number = number(node);
            return inputs -> inputs.doubleValue(number);
        }
        Optional<DoubleStep> step = node instanceof Ast.Call call ? planDoubleCall(call) : Optional.empty();
        return step.orElseGet(() -> unboxedDouble(planBoxed(node)));
    }

    private static DoubleStep unboxedDouble(ValueStep step) {
        return inputs -> inputs.unbox(valueOrError(inputs, step.evaluate(inputs)), 0.0);
    }

    /** A step made for the types of a call's arguments, if there is one for them. */
    private Optional<DoubleStep> planDoubleCall(Ast.Call call) {
        if (call.is("double") && hasType(call.argument(0), INT)) {
            IntStep operand = planInt(call.argument(0));
            return Optional.of(inputs -> operand.evaluate(inputs));
        }
        if (hasTwoOperandsOf(call, DOUBLE) && Operators.isArithmetic(call.function())) {
            char operator = call.function().charAt(0);
            return Optional.of(
                    NumberSteps.doubleArithmetic(operator, planDouble(call.argument(0)), planDouble(call.argument(1))));
        }
        return Optional.empty();
    }

    // ---------------------------------------------------------------- boxed values

    /** A step that gives a boxed value, by way of the step for its type where that is cheaper. */
    ValueStep planValue(Ast node) {
        if (hasType(node, BOOL) && !isConstant(node) && !isVariable(node) && !(node instanceof Ast.Select)) {
            return LogicalSteps.boxed(planBool(node));
        }
        if (hasType(node, INT)
                && node instanceof Ast.Call call
                && (call.is(Operators.CONDITIONAL) || hasTwoOperandsOf(call, INT))) {
            return NumberSteps.boxed(planInt(node));
        }
        return planBoxed(node);
    }

    private ValueStep[] planValues(List<Ast> nodes) {
        return nodes.stream().map(this::planValue).toArray(ValueStep[]::new);
    }

    private ValueStep planBoxed(Ast node) {
        if (isConstant(node)) {
            return planConstant(node);
        }
        if (node instanceof Ast.Identifier identifier) {
            return planIdentifier(identifier);
        }
        if (node instanceof Ast.Select select) {
            return CollectionSteps.select(planValue(select.operand()), select.field(), select.testOnly());
        }
        if (node instanceof Ast.CreateList list) {
            return CollectionSteps.createList(planValues(list.items()));
        }
        if (node instanceof Ast.CreateMap map) {
            return CollectionSteps.createMap(planValues(map.keys()), planValues(map.values()));
        }
        if (node instanceof Ast.Comprehension comprehension) {
            return new ComprehensionEvaluator(this, comprehension)::evaluateValue;
        }
        if (node instanceof Ast.Call call) {
            return planCall(call);
        }
        int number = number(((Ast.PresenceTest) node).field());
        return inputs -> inputs.isPresent(number);
    }

    private ValueStep planIdentifier(Ast.Identifier identifier) {
        if (isVariable(identifier)) {
            int slot = slot(identifier.name());
            return inputs -> inputs.variables[slot];
        }
        int number = number(identifier);
        return inputs -> {
            Object value = inputs.value(number);
            if (value == null) {
                return inputs.failValue(EvaluationError.NO_VALUE);
            }
            return value instanceof EvaluationError error ? inputs.failValue(error) : value;
        };
    }

    private ValueStep planCall(Ast.Call call) {
        if (call.is(Operators.CONDITIONAL)) {
            return LogicalSteps.conditionalValue(
                    planBool(call.argument(0)), planValue(call.argument(1)), planValue(call.argument(2)));
        }
        if (call.is(Operators.INDEX)
                && call.argument(1) instanceof Ast.Literal literal
                && literal.value() instanceof String key) {
            return CollectionSteps.select(planValue(call.argument(0)), key, false); // with the same errors
        }
        if (call.is(Operators.ADD) && hasTwoOperandsOf(call, STRING)) {
            return StringSteps.concatenate(planValue(call.argument(0)), planValue(call.argument(1)));
        }
        if (call.is(Operators.LOGICAL_AND) || call.is(Operators.LOGICAL_OR)) {
            return LogicalSteps.boxed(planBool(call));
        }
        return CollectionSteps.call(call.function(), planValues(call.arguments()), patterns.get(call));
    }

    // ---------------------------------------------------------------- constants

    /** Whether a node uses no name, and no variable. */
    private boolean isConstant(Ast node) {
        boolean isLeafOrComprehension =
                node instanceof Ast.Identifier || node instanceof Ast.PresenceTest || node instanceof Ast.Comprehension;
        return !isLeafOrComprehension && Ast.children(node).stream().allMatch(this::isConstant);
    }

    /** The value of a constant, or an {@link EvaluationError}. */
    private Object fold(Ast constant) {
        CostCounter unbounded = new CostCounter(ValueSize.UNBOUNDED);
        return new Evaluator(name -> null, patterns, unbounded).evaluate(constant);
    }

    private ValueStep planConstant(Ast constant) {
        Object value = fold(constant);
        return value instanceof EvaluationError error ? inputs -> inputs.failValue(error) : inputs -> value;
    }
}
