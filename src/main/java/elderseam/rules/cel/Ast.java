package elderseam.rules.cel;

import java.util.ArrayList;
import java.util.List;

/** The tree of an expression; {@code at}: where it stands, by which faults and costs name it. */
sealed interface Ast {
    int at();

    /** What stands directly below a node. */
    static List<Ast> below(Ast a) {
        List<Ast> all = new ArrayList<>();
        if (a instanceof Select s) {
            all.add(s.of);
        } else if (a instanceof Present p) {
            all.add(p.name);
        } else if (a instanceof Call c) {
            all.addAll(c.args);
        } else if (a instanceof ListOf l) {
            all.addAll(l.items);
        } else if (a instanceof MapOf m) {
            all.addAll(m.keys);
            all.addAll(m.values);
        } else if (a instanceof Each e) {
            all.add(e.range);
            all.add(e.body);
            if (e.filter != null) {
                all.add(e.filter);
            }
        }
        return all;
    }

    record Literal(Object value, int at) implements Ast {}

    record Name(String name, int at) implements Ast {}

    /** Whether a field of an open name is there. */
    record Present(Name name, int at) implements Ast {}

    /** {@code has}: only whether it is there. */
    record Select(Ast of, String field, boolean has, int at) implements Ast {}

    /** A function or an operator; of a method the receiver is the first argument. */
    record Call(String function, boolean method, List<Ast> args, int at) implements Ast {}

    record ListOf(List<Ast> items, int at) implements Ast {}

    record MapOf(List<Ast> keys, List<Ast> values, int at) implements Ast {}

    /** all, exists, exists_one, filter, map; {@code filter}: of a map with three arguments, else null. */
    record Each(String macro, Ast range, String variable, Ast filter, Ast body, int at) implements Ast {}
}
