package elderseam.rules.cel;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Tokens to a tree, by the grammar of the CEL specification. Bounded: 64 KiB of text, {@value #DEEPEST} levels of nesting, chains of
 * operators or selections of {@value #LONGEST} in a row, so that nothing that walks the tree can run out of stack.
 */
final class Parser {
    static final int DEEPEST = 100, LONGEST = 500, MOST_TEXT = 64 << 10;
    private static final Set<String> RESERVED = Set.of(
            "as",
            "break",
            "const",
            "continue",
            "else",
            "for",
            "function",
            "if",
            "import",
            "let",
            "loop",
            "package",
            "namespace",
            "return",
            "var",
            "void",
            "while",
            "in",
            "true",
            "false",
            "null");
    private static final Set<String> MACROS = Set.of("all", "exists", "exists_one", "filter", "map");
    private static final List<Set<String>> LEVELS = List.of(
            Set.of("||"),
            Set.of("&&"),
            Set.of("==", "!=", "<", "<=", ">", ">=", "in"),
            Set.of("+", "-"),
            Set.of("*", "/", "%"));
    private static final Map<String, Object> WORDS = Map.of("true", true, "false", false, "null", NullValue.NULL);

    private final String text;
    private final List<Token> tokens;
    private int next, depth;

    private Parser(String text, List<Token> tokens) {
        this.text = text;
        this.tokens = tokens;
    }

    static Ast parse(String text) throws ExpressionException {
        if (text.length() > MOST_TEXT) {
            throw new ExpressionException(new ExpressionFault(
                    1, 1, "", "an expression of " + text.length() + " characters, allowed: " + MOST_TEXT));
        }
        Parser p = new Parser(text, Lexer.tokens(text));
        Ast tree = p.expression();
        if (p.peek().kind() != Token.Kind.END) {
            throw p.fault(p.peek(), p.peek().words() + " where an operator or the end is expected");
        }
        p.shallow(tree);
        return tree;
    }

    /** Long chains inside nested ones add up; what walks the tree later calls itself for each level. */
    private void shallow(Ast tree) throws ExpressionException {
        ArrayDeque<Ast> nodes = new ArrayDeque<>(List.of(tree));
        ArrayDeque<Integer> levels = new ArrayDeque<>(List.of(1));
        while (!nodes.isEmpty()) {
            Ast a = nodes.pop();
            int level = levels.pop();
            if (level > LONGEST) {
                throw new ExpressionException(
                        ExpressionFault.at(text, a.at(), "a tree more than " + LONGEST + " deep"));
            }
            for (Ast b : Ast.below(a)) {
                nodes.push(b);
                levels.push(level + 1);
            }
        }
    }

    private ExpressionException fault(Token at, String words) {
        return new ExpressionException(ExpressionFault.at(text, at.at(), words));
    }

    private Token peek() {
        return tokens.get(next);
    }

    private Token take() {
        return tokens.get(next++);
    }

    private boolean takes(String sign) {
        boolean is = peek().is(sign);
        next += is ? 1 : 0;
        return is;
    }

    private void expect(String sign) throws ExpressionException {
        if (!takes(sign)) {
            throw fault(peek(), peek().words() + " where '" + sign + "' is expected");
        }
    }

    private void deeper() throws ExpressionException {
        if (++depth > DEEPEST) {
            throw fault(peek(), "nested more than " + DEEPEST + " deep");
        }
    }

    private Ast expression() throws ExpressionException {
        deeper();
        Ast condition = binary(0);
        if (peek().is("?")) {
            int at = take().at();
            Ast then = binary(0);
            expect(":");
            Ast otherwise = expression();
            condition = new Ast.Call("?:", false, List.of(condition, then, otherwise), at);
        }
        depth--;
        return condition;
    }

    /** Left to right; && and || are put together evenly, so that a long chain is no deep tree. */
    private Ast binary(int level) throws ExpressionException {
        if (level == LEVELS.size()) {
            return unary();
        }
        Ast left = binary(level + 1);
        List<Ast> chain = new ArrayList<>(List.of(left));
        List<Token> signs = new ArrayList<>();
        while (isSign(LEVELS.get(level), peek())) {
            signs.add(take());
            chain.add(binary(level + 1));
            if (chain.size() > LONGEST) {
                throw fault(signs.get(signs.size() - 1), "more than " + LONGEST + " operators in a row");
            }
        }
        if (level < 2) {
            return even(chain, signs, 0, chain.size());
        }
        if (signs.size() > DEEPEST) {
            throw fault(signs.get(DEEPEST), "more than " + DEEPEST + " such operators in a row");
        }
        for (int i = 0; i < signs.size(); i++) {
            left = new Ast.Call(
                    (String) signs.get(i).value(),
                    false,
                    List.of(left, chain.get(i + 1)),
                    signs.get(i).at());
        }
        return left;
    }

    private static boolean isSign(Set<String> signs, Token t) {
        return (t.kind() == Token.Kind.SIGN && signs.contains(t.value()))
                || (t.kind() == Token.Kind.NAME && t.value().equals("in") && signs.contains("in"));
    }

    private static Ast even(List<Ast> chain, List<Token> signs, int from, int to) {
        if (to - from == 1) {
            return chain.get(from);
        }
        int middle = (from + to) / 2;
        Token sign = signs.get(middle - 1);
        return new Ast.Call(
                (String) sign.value(),
                false,
                List.of(even(chain, signs, from, middle), even(chain, signs, middle, to)),
                sign.at());
    }

    private Ast unary() throws ExpressionException {
        Token t = peek();
        if (!t.is("!") && !t.is("-")) {
            return member();
        }
        take();
        if (t.is("-")
                && peek().kind() == Token.Kind.LITERAL) { // a negative literal, so that the least int can be written
            Object v = peek().value();
            if (v == Lexer.TOO_LARGE_BY_ONE || v instanceof Long || v instanceof Double) {
                take();
                return members(new Ast.Literal(
                        v instanceof Long n
                                ? (Object) (-n)
                                : v instanceof Double d ? (Object) (-d) : (Object) Long.MIN_VALUE,
                        t.at()));
            }
        }
        deeper();
        Ast of = unary();
        depth--;
        return new Ast.Call(t.is("!") ? "!_" : "-_", false, List.of(of), t.at());
    }

    private Ast member() throws ExpressionException {
        return members(primary());
    }

    private Ast members(Ast of) throws ExpressionException {
        Ast tree = of;
        for (int n = 0; ; n++) {
            Token t = peek();
            if (!t.is(".") && !t.is("[")) {
                return tree;
            }
            if (n > DEEPEST) {
                throw fault(t, "more than " + DEEPEST + " selections in a row");
            }
            take();
            if (t.is("[")) {
                Ast index = expression();
                expect("]");
                tree = new Ast.Call("[]", false, List.of(tree, index), t.at());
                continue;
            }
            Token field = name();
            tree = takes("(") ? method(tree, field) : new Ast.Select(tree, (String) field.value(), false, field.at());
        }
    }

    private Token name() throws ExpressionException {
        Token t = take();
        if (t.kind() != Token.Kind.NAME || RESERVED.contains(t.value())) {
            throw fault(t, t.words() + " where a name is expected");
        }
        return t;
    }

    private Ast method(Ast receiver, Token field) throws ExpressionException {
        String function = (String) field.value();
        List<Ast> args = list(")");
        if (!MACROS.contains(function)) {
            args.add(0, receiver);
            return new Ast.Call(function, true, args, field.at());
        }
        boolean three = function.equals("map") && args.size() == 3;
        if ((args.size() != 2 && !three) || !(args.get(0) instanceof Ast.Name variable)) {
            throw fault(
                    field,
                    function + " takes a name and an expression"
                            + (function.equals("map") ? ", or a name and two" : ""));
        }
        return new Ast.Each(
                function, receiver, variable.name(), three ? args.get(1) : null, args.get(args.size() - 1), field.at());
    }

    /** Expressions apart by commas up to that sign; one comma may stand before it. */
    private List<Ast> list(String end) throws ExpressionException {
        List<Ast> all = new ArrayList<>();
        while (!takes(end)) {
            all.add(expression());
            if (!takes(",")) {
                expect(end);
                break;
            }
        }
        return all;
    }

    private Ast primary() throws ExpressionException {
        Token t = take();
        if (t.kind() == Token.Kind.LITERAL) {
            if (t.value() == Lexer.TOO_LARGE_BY_ONE) {
                throw fault(t, "a number that 64 bits do not hold");
            }
            return new Ast.Literal(t.value(), t.at());
        }
        if (t.is("(")) {
            Ast inner = expression();
            expect(")");
            return inner;
        }
        if (t.is("[")) {
            return new Ast.ListOf(list("]"), t.at());
        }
        if (t.is("{")) {
            return map(t);
        }
        if (t.kind() != Token.Kind.NAME) {
            throw fault(t, t.words() + " where an expression is expected");
        }
        if (WORDS.containsKey(t.value())) {
            return new Ast.Literal(WORDS.get(t.value()), t.at());
        }
        if (RESERVED.contains(t.value())) {
            throw fault(t, "'" + t.value() + "' is a reserved word");
        }
        if (!takes("(")) {
            return new Ast.Name((String) t.value(), t.at());
        }
        List<Ast> args = list(")");
        if (!t.value().equals("has")) {
            return new Ast.Call((String) t.value(), false, args, t.at());
        }
        if (args.size() != 1 || !(args.get(0) instanceof Ast.Select s) || s.has()) {
            throw fault(t, "has takes a selection, such as has(a.b)");
        }
        return new Ast.Select(s.of(), s.field(), true, s.at());
    }

    private Ast map(Token open) throws ExpressionException {
        List<Ast> keys = new ArrayList<>(), values = new ArrayList<>();
        while (!takes("}")) {
            keys.add(expression());
            expect(":");
            values.add(expression());
            if (!takes(",")) {
                expect("}");
                break;
            }
        }
        return new Ast.MapOf(keys, values, open.at());
    }
}
