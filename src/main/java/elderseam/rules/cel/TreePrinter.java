package elderseam.rules.cel;

import java.util.Locale;
import java.util.Map;

/** Prints a checked tree for operators: a line for each node, with its type and its worst-case cost, indented below its parent. */
final class TreePrinter {
    private static final int MAX_INDENTED_LEVELS = 40;

    private final Map<Ast, Type> types;
    private final Map<Ast, Long> costs;
    private final StringBuilder lines = new StringBuilder();

    private TreePrinter(Map<Ast, Type> types, Map<Ast, Long> costs) {
        this.types = types;
        this.costs = costs;
    }

    /** The lines of all nodes, the root first; {@code types} and {@code costs} by the identity of nodes. */
    static String print(Ast tree, Map<Ast, Type> types, Map<Ast, Long> costs) {
        TreePrinter printer = new TreePrinter(types, costs);
        printer.append(tree, 0);
        return printer.lines.toString();
    }

    private void append(Ast node, int level) {
        String label = "  ".repeat(Math.min(level, MAX_INDENTED_LEVELS)) + label(node);
        lines.append(String.format(Locale.ROOT, "%-56s %-24s %s%n", label, types.get(node), costs.get(node)));
        for (Ast child : Ast.children(node)) {
            append(child, level + 1);
        }
    }

    private static String label(Ast node) {
        if (node instanceof Ast.Literal literal) {
            return literal.value() instanceof String string
                    ? "'" + string + "'"
                    : literal.value().toString();
        }
        if (node instanceof Ast.Identifier identifier) {
            return identifier.name();
        }
        if (node instanceof Ast.PresenceTest) {
            return "has";
        }
        if (node instanceof Ast.Select select) {
            return (select.testOnly() ? "has ." : ".") + select.field();
        }
        if (node instanceof Ast.Call call) {
            return call.function();
        }
        if (node instanceof Ast.CreateList) {
            return "[...]";
        }
        if (node instanceof Ast.CreateMap) {
            return "{...}";
        }
        Ast.Comprehension comprehension = (Ast.Comprehension) node;
        return comprehension.macro() + " " + comprehension.variable();
    }
}
