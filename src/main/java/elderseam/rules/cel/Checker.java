package elderseam.rules.cel;

import static elderseam.rules.cel.Type.Plain.BOOL;
import static elderseam.rules.cel.Type.Plain.BYTES;
import static elderseam.rules.cel.Type.Plain.DOUBLE;
import static elderseam.rules.cel.Type.Plain.DYN;
import static elderseam.rules.cel.Type.Plain.INT;
import static elderseam.rules.cel.Type.Plain.NULL;
import static elderseam.rules.cel.Type.Plain.STRING;
import static elderseam.rules.cel.Type.Plain.UINT;

import java.time.DateTimeException;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.PatternSyntaxException;

/** Gives each node its type, and tells every fault there is: a node with a fault counts as DYN, so that it is told once. */
final class Checker {
    private final String text;
    private final Scope scope;
    private final Map<String, Type> variables = new HashMap<>(); // of macros
    private final IdentityHashMap<Ast, Type> types = new IdentityHashMap<>();
    private final List<ExpressionFault> faults = new ArrayList<>();

    private Checker(String text, Scope scope) {
        this.text = text;
        this.scope = scope;
    }

    /** The type of each node. */
    static Map<Ast, Type> check(String text, Ast tree, Scope scope, Type asked) throws ExpressionException {
        Checker c = new Checker(text, scope);
        Type t = c.type(tree);
        if (!Type.fits(t, asked)) {
            c.fault(tree, "gives " + t + " where " + asked + " is expected");
        }
        if (!c.faults.isEmpty()) {
            throw new ExpressionException(List.copyOf(c.faults));
        }
        return c.types;
    }

    private Type fault(Ast at, String words) {
        faults.add(ExpressionFault.at(text, at.at(), words));
        return DYN;
    }

    private Type type(Ast a) {
        Type t = a instanceof Ast.Literal x
                ? literal(x.value())
                : a instanceof Ast.Name x
                        ? name(x)
                        : a instanceof Ast.Select x
                                ? select(x)
                                : a instanceof Ast.Present x
                                        ? present(x)
                                        : a instanceof Ast.Call x
                                                ? call(x)
                                                : a instanceof Ast.ListOf x
                                                        ? new Type.ListType(Type.common(x.items().stream()
                                                                .map(this::type)
                                                                .toList()))
                                                        : a instanceof Ast.MapOf x ? map(x) : each((Ast.Each) a);
        types.put(a, t);
        return t;
    }

    private static Type literal(Object v) {
        return v instanceof Boolean
                ? BOOL
                : v instanceof Long
                        ? INT
                        : v instanceof UnsignedLong
                                ? UINT
                                : v instanceof Double
                                        ? DOUBLE
                                        : v instanceof String ? STRING : v instanceof ByteSequence ? BYTES : NULL;
    }

    private Type name(Ast.Name x) {
        Type t = variables.get(x.name());
        if (t != null) {
            return t;
        }
        Scope.Declared d = scope.get(x.name());
        return d == null && scope.open(x.name())
                ? fault(x, "all of '" + x.name() + "', expected a field of it, such as " + x.name() + ".a")
                : d == null
                        ? fault(
                                x,
                                "no such name '" + x.name() + "', known: "
                                        + String.join(", ", scope.all().keySet()))
                        : d.type();
    }

    private Type select(Ast.Select x) {
        Type of = type(x.of());
        if (of instanceof Type.MapType m && Type.fits(STRING, m.key())) {
            return x.has() ? BOOL : m.value();
        }
        return of == DYN
                ? x.has() ? BOOL : DYN
                : fault(x, "." + x.field() + " of " + of + ", expected a map with string keys");
    }

    private Type present(Ast.Present x) {
        type(x.name());
        return BOOL;
    }

    private Type map(Ast.MapOf x) {
        List<Type> keys = x.keys().stream().map(this::type).toList();
        for (int i = 0; i < keys.size(); i++) {
            if (!List.of(BOOL, INT, UINT, STRING, DYN).contains(keys.get(i))) {
                fault(x.keys().get(i), "a key of " + keys.get(i) + ", expected bool, int, uint or string");
            }
        }
        return new Type.MapType(
                Type.common(keys),
                Type.common(x.values().stream().map(this::type).toList()));
    }

    private Type each(Ast.Each x) {
        Type range = type(x.range());
        Type item = range instanceof Type.ListType l
                ? l.item()
                : range instanceof Type.MapType m
                        ? m.key()
                        : range == DYN ? DYN : fault(x, x.macro() + " over " + range + ", expected a list or a map");
        Type hidden = variables.put(x.variable(), item);
        Type filter = x.filter() == null ? BOOL : type(x.filter()), body = type(x.body());
        if (hidden == null) {
            variables.remove(x.variable());
        } else {
            variables.put(x.variable(), hidden);
        }
        boolean maps = x.macro().equals("map");
        if (!Type.fits(filter, BOOL) || (!maps && !Type.fits(body, BOOL))) {
            return fault(
                    !Type.fits(filter, BOOL) ? x.filter() : x.body(),
                    "gives " + (Type.fits(filter, BOOL) ? body : filter) + " where bool is expected");
        }
        return maps ? new Type.ListType(body) : x.macro().equals("filter") ? new Type.ListType(item) : BOOL;
    }

    private Type call(Ast.Call x) {
        List<Type> args = x.args().stream().map(this::type).toList();
        switch (x.function()) {
            case "?:" -> {
                return !Type.fits(args.get(0), BOOL)
                        ? fault(x.args().get(0), "gives " + args.get(0) + " where bool is expected")
                        : Type.fits(args.get(1), args.get(2))
                                ? Type.common(args.subList(1, 3))
                                : fault(x, "gives " + args.get(1) + " or " + args.get(2) + ", expected one type");
            }
            case "==", "!=" -> {
                return Type.fits(args.get(0), args.get(1)) || args.contains(NULL)
                        ? BOOL
                        : fault(x, x.function() + " of " + args.get(0) + " and " + args.get(1) + ", expected one type");
            }
            case "in" -> {
                return in(x, args);
            }
            case "[]" -> {
                return index(x, args);
            }
            default -> {
                return overload(x, args);
            }
        }
    }

    private Type in(Ast.Call x, List<Type> args) {
        Type of = args.get(1);
        boolean fits = of == DYN
                || (of instanceof Type.ListType l && Type.fits(args.get(0), l.item()))
                || (of instanceof Type.MapType m && Type.fits(args.get(0), m.key()));
        return fits ? BOOL : fault(x, args.get(0) + " in " + of + ", expected a list or a map of such");
    }

    private Type index(Ast.Call x, List<Type> args) {
        if (args.get(0) instanceof Type.ListType l && Type.fits(args.get(1), INT)) {
            return l.item();
        }
        if (args.get(0) instanceof Type.MapType m && Type.fits(args.get(1), m.key())) {
            return m.value();
        }
        return args.get(0) == DYN
                ? DYN
                : fault(x, args.get(0) + "[" + args.get(1) + "], expected a list and int, or a map and its key");
    }

    private Type overload(Ast.Call x, List<Type> args) {
        if (x.function().equals("+") && args.get(0) instanceof Type.ListType && args.get(1) instanceof Type.ListType) {
            return Type.common(args);
        }
        if (x.function().equals("+")
                && args.contains(DYN)
                && args.stream().allMatch(t -> t == DYN || t instanceof Type.ListType)) {
            return DYN;
        }
        List<Signatures.Signature> all = Signatures.of(x.function(), x.method());
        if (all.isEmpty()) {
            return fault(x, "no such " + (x.method() ? "method" : "function") + " '" + x.function() + "'");
        }
        List<Type> gives = new ArrayList<>();
        for (Signatures.Signature s : all) {
            boolean fits = s.takes().size() == args.size();
            for (int i = 0; fits && i < args.size(); i++) {
                fits = Type.fits(args.get(i), s.takes().get(i));
            }
            if (fits) {
                gives.add(s.gives());
            }
        }
        if (gives.isEmpty()) {
            return fault(
                    x,
                    name(x) + " of " + words(args) + ", expected "
                            + String.join(
                                    " or ",
                                    all.stream()
                                            .map(s -> words(s.takes()))
                                            .distinct()
                                            .toList()));
        }
        constants(x);
        return Type.common(gives);
    }

    private static String name(Ast.Call x) {
        return x.function().endsWith("_") ? x.function().substring(0, 1) : x.function();
    }

    private static String words(List<Type> types) {
        return "(" + String.join(", ", types.stream().map(Type::toString).toList()) + ")";
    }

    /** What is constant is looked at here, not when a request comes: patterns must be; times, durations and zones may be. */
    private void constants(Ast.Call x) {
        Ast last = x.args().get(x.args().size() - 1);
        Object value = last instanceof Ast.Literal l ? l.value() : null;
        try {
            if (x.function().equals("matches")) {
                if (value instanceof String pattern) {
                    Functions.pattern(pattern);
                } else {
                    fault(last, "a pattern that is not constant, expected a string literal");
                }
            } else if (value instanceof String s && x.function().equals("timestamp")) {
                Functions.timestamp(s);
            } else if (value instanceof String s && x.function().equals("duration")) {
                if (Functions.duration(s) == null) {
                    fault(last, "no duration, expected such as \"1h30m\"");
                }
            } else if (value instanceof String s
                    && x.function().startsWith("get")
                    && x.args().size() == 2) {
                ZoneId.of(s);
            }
        } catch (com.google.re2j.PatternSyntaxException | PatternSyntaxException | DateTimeException e) {
            fault(last, e.getMessage());
        }
    }
}
