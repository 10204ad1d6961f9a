package elderseam.rules.cel;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Turns chains of selections into identifiers: {@code request.method} becomes one if the scope declares it (the longest chain that it
 * does; CEL specification, "Name Resolution"), and {@code body.lease.month} becomes a field if {@code body} is open. A variable of a
 * comprehension hides names that begin with it.
 */
final class NameResolver {
    private final Scope scope;
    private final Set<String> variables = new HashSet<>();

    private NameResolver(Scope scope) {
        this.scope = scope;
    }

    /** The tree with its names resolved; declares the fields of open names that it selects. */
    static Ast resolve(Ast tree, Scope scope) {
        return new NameResolver(scope).resolve(tree);
    }

    private List<Ast> resolveAll(List<Ast> nodes) {
        List<Ast> resolved = new ArrayList<>(nodes.size());
        for (Ast node : nodes) {
            resolved.add(resolve(node));
        }
        return resolved;
    }

    private Ast resolve(Ast node) {
        if (node instanceof Ast.Select || Operators.isIndex(node)) {
            Optional<Ast> name = resolveChain(node);
            if (name.isPresent()) {
                return name.get();
            }
        }
        if (node instanceof Ast.Select select) {
            return new Ast.Select(resolve(select.operand()), select.field(), select.testOnly(), select.position());
        }
        if (node instanceof Ast.Call call) {
            return new Ast.Call(call.function(), call.receiverStyle(), resolveAll(call.arguments()), call.position());
        }
        if (node instanceof Ast.CreateList list) {
            return new Ast.CreateList(resolveAll(list.items()), list.position());
        }
        if (node instanceof Ast.CreateMap map) {
            return new Ast.CreateMap(resolveAll(map.keys()), resolveAll(map.values()), map.position());
        }
        return node instanceof Ast.Comprehension comprehension ? resolveComprehension(comprehension) : node;
    }

    private Ast resolveComprehension(Ast.Comprehension comprehension) {
        Ast range = resolve(comprehension.range());
        String variable = comprehension.variable();
        boolean isNew = variables.add(variable);
        Ast filter = comprehension.filter() == null ? null : resolve(comprehension.filter());
        Ast body = resolve(comprehension.body());
        if (isNew) {
            variables.remove(variable);
        }
        return new Ast.Comprehension(comprehension.macro(), range, variable, filter, body, comprehension.position());
    }

    /** The identifier, or the test for its presence, that a whole chain of selections stands for; empty if it stands for none. */
    private Optional<Ast> resolveChain(Ast chain) {
        List<String> path = new ArrayList<>();
        Ast operand = chain;
        boolean isChain = true;
        while (isChain) {
            if (operand instanceof Ast.Select select && (!select.testOnly() || operand == chain)) {
                path.add(0, select.field());
                operand = select.operand();
            } else if (operand instanceof Ast.Call call
                    && call.is(Operators.INDEX)
                    && call.argument(1) instanceof Ast.Literal literal
                    && literal.value() instanceof String key) {
                path.add(0, key);
                operand = call.argument(0);
            } else {
                isChain = false;
            }
        }
        if (!(operand instanceof Ast.Identifier root) || variables.contains(root.name())) {
            return Optional.empty();
        }
        boolean isTest = chain instanceof Ast.Select select && select.testOnly();
        if (scope.isOpen(root.name())) {
            Ast.Identifier field = new Ast.Identifier(scope.field(root.name(), path), chain.position());
            return Optional.of(isTest ? new Ast.PresenceTest(field, chain.position()) : field);
        }
        String name = root.name() + "." + String.join(".", path);
        return chain instanceof Ast.Select && !isTest && scope.get(name) != null
                ? Optional.of(new Ast.Identifier(name, root.position()))
                : Optional.empty();
    }
}
