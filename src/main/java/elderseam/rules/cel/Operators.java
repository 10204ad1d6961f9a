package elderseam.rules.cel;

import java.util.Set;

/** The function names under which operators stand in the syntax tree, in {@link Signatures} and in {@link Functions}. */
final class Operators {
    static final String CONDITIONAL = "?:";
    static final String LOGICAL_OR = "||";
    static final String LOGICAL_AND = "&&";
    static final String LOGICAL_NOT = "!_";
    static final String EQUALS = "==";
    static final String NOT_EQUALS = "!=";
    static final String LESS = "<";
    static final String LESS_EQUALS = "<=";
    static final String GREATER = ">";
    static final String GREATER_EQUALS = ">=";
    static final String IN = "in";
    static final String ADD = "+";
    static final String SUBTRACT = "-";
    static final String MULTIPLY = "*";
    static final String DIVIDE = "/";
    static final String MODULO = "%";
    static final String NEGATE = "-_";
    static final String INDEX = "[]";

    private static final Set<String> ARITHMETIC = Set.of(ADD, SUBTRACT, MULTIPLY, DIVIDE, MODULO);

    private Operators() {}

    /** Whether the function is a binary operator on numbers; {@code +} and {@code -} take other types too. */
    static boolean isArithmetic(String function) {
        return ARITHMETIC.contains(function);
    }

    /**
     * Whether the function compares items of its arguments one by one. It charges them to the {@link CostCounter} as it goes, so that its
     * caller charges one unit alone.
     */
    static boolean chargesItemByItem(String function) {
        return function.equals(IN) || function.equals(EQUALS) || function.equals(NOT_EQUALS);
    }

    /** Whether the node is an index, {@code operand[index]}. */
    static boolean isIndex(Ast node) {
        return node instanceof Ast.Call call && call.function().equals(INDEX);
    }
}
