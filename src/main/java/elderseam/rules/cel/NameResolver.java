package elderseam.rules.cel;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Puts selections together to names: {@code request.method} is one name where the scope declares it (the longest that it does;
 * CEL specification, "Name Resolution"), and {@code body.lease.month} one field where {@code body} is open. A macro's variable
 * hides names that begin with it.
 */
final class NameResolver {
    private final Scope scope;
    private final Set<String> variables = new HashSet<>();

    private NameResolver(Scope scope) {
        this.scope = scope;
    }

    static Ast names(Ast tree, Scope scope) {
        return new NameResolver(scope).of(tree);
    }

    private List<Ast> all(List<Ast> nodes) {
        return nodes.stream().map(this::of).toList();
    }

    private Ast of(Ast a) {
        if (a instanceof Ast.Select || (a instanceof Ast.Call c && c.function().equals("[]"))) {
            Ast name = name(a);
            if (name != null) {
                return name;
            }
        }
        if (a instanceof Ast.Select x) {
            return new Ast.Select(of(x.of()), x.field(), x.has(), x.at());
        }
        if (a instanceof Ast.Call x) {
            return new Ast.Call(x.function(), x.method(), all(x.args()), x.at());
        }
        if (a instanceof Ast.ListOf x) {
            return new Ast.ListOf(all(x.items()), x.at());
        }
        if (a instanceof Ast.MapOf x) {
            return new Ast.MapOf(all(x.keys()), all(x.values()), x.at());
        }
        if (a instanceof Ast.Each x) {
            Ast range = of(x.range());
            boolean fresh = variables.add(x.variable());
            Ast filter = x.filter() == null ? null : of(x.filter()), body = of(x.body());
            if (fresh) {
                variables.remove(x.variable());
            }
            return new Ast.Each(x.macro(), range, x.variable(), filter, body, x.at());
        }
        return a;
    }

    /** The name that a chain is, or null. */
    private Ast name(Ast a) {
        List<String> path = new ArrayList<>();
        Ast at = a;
        while (true) {
            if (at instanceof Ast.Select s && (!s.has() || at == a)) {
                path.add(0, s.field());
                at = s.of();
            } else if (at instanceof Ast.Call c
                    && c.function().equals("[]")
                    && c.args().get(1) instanceof Ast.Literal l
                    && l.value() instanceof String s) {
                path.add(0, s);
                at = c.args().get(0);
            } else {
                break;
            }
        }
        if (!(at instanceof Ast.Name root) || variables.contains(root.name())) {
            return null;
        }
        boolean has = a instanceof Ast.Select s && s.has();
        if (scope.open(root.name())) {
            Ast.Name field = new Ast.Name(scope.field(root.name(), path), a.at());
            return has ? new Ast.Present(field, a.at()) : field;
        }
        String whole = root.name() + "." + String.join(".", path);
        return a instanceof Ast.Select && !has && scope.get(whole) != null ? new Ast.Name(whole, root.at()) : null;
    }
}
