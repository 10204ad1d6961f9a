package elderseam.rules.cel;

import java.util.ArrayList;
import java.util.List;

/** A node of the syntax tree of an expression. Nodes are compared by identity wherever something is recorded for them. */
sealed interface Ast {
    /** Offset of the node in the text, at which faults and costs are reported. */
    int position();

    /** The nodes directly below one. */
    static List<Ast> children(Ast node) {
        List<Ast> children = new ArrayList<>();
        if (node instanceof Select select) {
            children.add(select.operand);
        } else if (node instanceof PresenceTest test) {
            children.add(test.field);
        } else if (node instanceof Call call) {
            children.addAll(call.arguments);
        } else if (node instanceof CreateList list) {
            children.addAll(list.items);
        } else if (node instanceof CreateMap map) {
            children.addAll(map.keys);
            children.addAll(map.values);
        } else if (node instanceof Comprehension comprehension) {
            children.add(comprehension.range);
            children.add(comprehension.body);
            if (comprehension.filter != null) {
                children.add(comprehension.filter);
            }
        }
        return children;
    }

    /** All nodes of a tree, its root first, level by level. */
    static List<Ast> nodes(Ast root) {
        List<Ast> nodes = new ArrayList<>();
        nodes.add(root);
        for (int i = 0; i < nodes.size(); i++) {
            nodes.addAll(children(nodes.get(i)));
        }
        return nodes;
    }

    /**
     * A literal.
     *
     * @param value Boolean, Long, {@link UnsignedLong}, Double, String, {@link ByteSequence} or {@link NullValue}
     */
    record Literal(Object value, int position) implements Ast {}

    /** A variable of a comprehension, or a name of the {@link Scope}. */
    record Identifier(String name, int position) implements Ast {}

    /** {@code has} of a field of an open name. */
    record PresenceTest(Identifier field, int position) implements Ast {}

    /**
     * {@code operand.field}, or {@code has(operand.field)}.
     *
     * @param testOnly whether only the presence of the field is asked for
     */
    record Select(Ast operand, String field, boolean testOnly, int position) implements Ast {}

    /**
     * A call of a function or an operator.
     *
     * @param receiverStyle whether it was written {@code receiver.function(...)}; the receiver is the first argument
     */
    record Call(String function, boolean receiverStyle, List<Ast> arguments, int position) implements Ast {
        Ast argument(int index) {
            return arguments.get(index);
        }

        boolean is(String name) {
            return function.equals(name);
        }
    }

    /** {@code [items...]}. */
    record CreateList(List<Ast> items, int position) implements Ast {}

    /**
     * <code>{key: value, ...}</code>.
     *
     * @param values as many as keys, in their order
     */
    record CreateMap(List<Ast> keys, List<Ast> values, int position) implements Ast {}

    /**
     * A call of a comprehension macro, {@code range.macro(variable, body)}.
     *
     * @param filter of a map with three arguments, else null
     */
    record Comprehension(Macro macro, Ast range, String variable, Ast filter, Ast body, int position) implements Ast {}
}
