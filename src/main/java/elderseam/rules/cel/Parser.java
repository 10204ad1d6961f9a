package elderseam.rules.cel;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Turns tokens into a syntax tree, by the grammar of the CEL specification ("Syntax"): recursive descent, a method for each rule.
 *
 * <p>Text, nesting, chains of operators and depth of the tree are bounded, so that nothing that walks the tree can run out of stack.
 */
final class Parser {
    /** Most levels of nesting, and most selections, or operators that associate to the left, in a row. */
    static final int MAX_NESTING = 100;

    /** Most operands of one chain of operators; also the most levels of a tree. */
    private static final int MAX_CHAIN = 500;

    private static final int MAX_TEXT_CHARS = 64 << 10;
    private static final Set<String> RESERVED_WORDS = Set.of(
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
    private static final Map<String, Object> LITERAL_WORDS =
            Map.of("true", true, "false", false, "null", NullValue.NULL);
    /** Binary operators by precedence, the weakest first. */
    private static final List<Set<String>> PRECEDENCE = List.of(
            Set.of(Operators.LOGICAL_OR),
            Set.of(Operators.LOGICAL_AND),
            Set.of(
                    Operators.EQUALS,
                    Operators.NOT_EQUALS,
                    Operators.LESS,
                    Operators.LESS_EQUALS,
                    Operators.GREATER,
                    Operators.GREATER_EQUALS,
                    Operators.IN),
            Set.of(Operators.ADD, Operators.SUBTRACT),
            Set.of(Operators.MULTIPLY, Operators.DIVIDE, Operators.MODULO));
    /** How many of the weakest levels hold associative operators, whose chains become balanced trees. */
    private static final int ASSOCIATIVE_LEVELS = 2;

    private final String text;
    private final List<Token> tokens;
    private int next;
    private int nesting;

    private Parser(String text, List<Token> tokens) {
        this.text = text;
        this.tokens = tokens;
    }

    /** The syntax tree of an expression. */
    static Ast parse(String text) throws ExpressionException {
        if (text.length() > MAX_TEXT_CHARS) {
            throw new ExpressionException(new ExpressionFault(
                    1, 1, "", "an expression of " + text.length() + " characters, allowed: " + MAX_TEXT_CHARS));
        }
        Parser parser = new Parser(text, Lexer.tokens(text));
        Ast tree = parser.expression();
        if (parser.peek().kind() != Token.Kind.END) {
            throw parser.unexpected(parser.peek(), "an operator or the end");
        }
        parser.checkDepth(tree);
        return tree;
    }

    /** Checks the depth of the whole tree: the levels of chains inside nested ones add up. */
    private void checkDepth(Ast tree) throws ExpressionException {
        record Level(Ast node, int depth) {}

        ArrayDeque<Level> pending = new ArrayDeque<>();
        pending.push(new Level(tree, 1));
        while (!pending.isEmpty()) {
            Level level = pending.pop();
            if (level.depth > MAX_CHAIN) {
                throw fault(level.node.position(), "a tree more than " + MAX_CHAIN + " deep");
            }
            for (Ast child : Ast.children(level.node)) {
                pending.push(new Level(child, level.depth + 1));
            }
        }
    }

    // ---------------------------------------------------------------- tokens

    private ExpressionException fault(int offset, String message) {
        return new ExpressionException(ExpressionFault.at(text, offset, message));
    }

    private ExpressionException fault(Token token, String message) {
        return fault(token.position(), message);
    }

    private ExpressionException unexpected(Token token, String expected) {
        return fault(token, token.describe() + " where " + expected + " is expected");
    }

    private Token peek() {
        return tokens.get(next);
    }

    private Token take() {
        Token token = tokens.get(next);
        next++;
        return token;
    }

    private boolean takeIf(String symbol) {
        boolean isNext = peek().isSymbol(symbol);
        if (isNext) {
            next++;
        }
        return isNext;
    }

    private void expect(String symbol) throws ExpressionException {
        if (!takeIf(symbol)) {
            throw unexpected(peek(), "'" + symbol + "'");
        }
    }

    private void enterNesting() throws ExpressionException {
        nesting++;
        if (nesting > MAX_NESTING) {
            throw fault(peek(), "nested more than " + MAX_NESTING + " deep");
        }
    }

    private void leaveNesting() {
        nesting--;
    }

    // ---------------------------------------------------------------- operators

    private Ast expression() throws ExpressionException {
        enterNesting();
        Ast tree = binary(0);
        if (peek().isSymbol("?")) {
            int position = take().position();
            Ast whenTrue = binary(0);
            expect(":");
            Ast whenFalse = expression();
            tree = new Ast.Call(Operators.CONDITIONAL, false, List.of(tree, whenTrue, whenFalse), position);
        }
        leaveNesting();
        return tree;
    }

    /** A chain of binary operators of one level of {@link #PRECEDENCE}, from left to right. */
    private Ast binary(int level) throws ExpressionException {
        if (level == PRECEDENCE.size()) {
            return unary();
        }
        List<Ast> operands = new ArrayList<>();
        List<Token> operators = new ArrayList<>();
        operands.add(binary(level + 1));
        while (isOperator(peek(), PRECEDENCE.get(level))) {
            Token operator = take();
            operators.add(operator);
            operands.add(binary(level + 1));
            if (operands.size() > MAX_CHAIN) {
                throw fault(operator, "more than " + MAX_CHAIN + " operators in a row");
            }
        }
        return level < ASSOCIATIVE_LEVELS
                ? balanced(operands, operators, 0, operands.size())
                : leftAssociative(operands, operators);
    }

    private static boolean isOperator(Token token, Set<String> operators) {
        boolean isSymbolOrIn = token.kind() == Token.Kind.SYMBOL
                || (token.kind() == Token.Kind.NAME && token.value().equals(Operators.IN));
        return isSymbolOrIn && operators.contains(token.value());
    }

    private Ast leftAssociative(List<Ast> operands, List<Token> operators) throws ExpressionException {
        if (operators.size() > MAX_NESTING) {
            throw fault(operators.get(MAX_NESTING), "more than " + MAX_NESTING + " such operators in a row");
        }
        Ast tree = operands.get(0);
        for (int i = 0; i < operators.size(); i++) {
            tree = binaryCall(operators.get(i), tree, operands.get(i + 1));
        }
        return tree;
    }

    /** A balanced tree over the operands {@code from} (inclusive) to {@code to} (exclusive), so that a long chain is no deep tree. */
    private static Ast balanced(List<Ast> operands, List<Token> operators, int from, int to) {
        if (to - from == 1) {
            return operands.get(from);
        }
        int middle = (from + to) / 2;
        return binaryCall(
                operators.get(middle - 1),
                balanced(operands, operators, from, middle),
                balanced(operands, operators, middle, to));
    }

    private static Ast binaryCall(Token operator, Ast left, Ast right) {
        return new Ast.Call((String) operator.value(), false, List.of(left, right), operator.position());
    }

    private Ast unary() throws ExpressionException {
        Token operator = peek();
        boolean isNot = operator.isSymbol("!");
        boolean isMinus = operator.isSymbol("-");
        if (!isNot && !isMinus) {
            return selections(primary());
        }
        take();
        if (isMinus && peek().kind() == Token.Kind.LITERAL) {
            Optional<Object> negated = negated(peek().value());
            if (negated.isPresent()) {
                take();
                return selections(new Ast.Literal(negated.get(), operator.position()));
            }
        }
        enterNesting();
        Ast operand = unary();
        leaveNesting();
        return new Ast.Call(
                isNot ? Operators.LOGICAL_NOT : Operators.NEGATE, false, List.of(operand), operator.position());
    }

    /** The negative of a literal; empty if it isn't an int or a double. Negated here so that the least int can be written. */
    private static Optional<Object> negated(Object literal) {
        if (literal == Lexer.MIN_INT_MAGNITUDE) {
            return Optional.of(Long.MIN_VALUE);
        }
        if (literal instanceof Long number) {
            return Optional.of(-number);
        }
        return literal instanceof Double number ? Optional.of(-number) : Optional.empty();
    }

    // ---------------------------------------------------------------- selections and calls

    /** The selections, indexes and calls that follow an operand. */
    private Ast selections(Ast operand) throws ExpressionException {
        Ast tree = operand;
        for (int count = 0; peek().isSymbol(".") || peek().isSymbol("["); count++) {
            if (count > MAX_NESTING) {
                throw fault(peek(), "more than " + MAX_NESTING + " selections in a row");
            }
            Token token = take();
            if (token.isSymbol("[")) {
                Ast index = expression();
                expect("]");
                tree = new Ast.Call(Operators.INDEX, false, List.of(tree, index), token.position());
            } else {
                tree = fieldOrReceiverCall(tree);
            }
        }
        return tree;
    }

    private Ast fieldOrReceiverCall(Ast operand) throws ExpressionException {
        Token field = take();
        if (field.kind() != Token.Kind.NAME || RESERVED_WORDS.contains(field.value())) {
            throw unexpected(field, "a name");
        }
        return takeIf("(")
                ? receiverCall(operand, field)
                : new Ast.Select(operand, (String) field.value(), false, field.position());
    }

    private Ast receiverCall(Ast receiver, Token name) throws ExpressionException {
        String function = (String) name.value();
        List<Ast> arguments = expressionsUntil(")");
        Optional<Macro> macro = Macro.named(function);
        if (macro.isPresent()) {
            return comprehension(macro.get(), receiver, arguments, name);
        }
        arguments.add(0, receiver);
        return new Ast.Call(function, true, arguments, name.position());
    }

    private Ast comprehension(Macro macro, Ast range, List<Ast> arguments, Token name) throws ExpressionException {
        boolean hasFilter = macro == Macro.MAP && arguments.size() == 3;
        boolean isCountRight = arguments.size() == 2 || hasFilter;
        if (!isCountRight || !(arguments.get(0) instanceof Ast.Identifier variable)) {
            throw fault(
                    name,
                    macro + " takes a name and an expression" + (macro == Macro.MAP ? ", or a name and two" : ""));
        }
        Ast filter = hasFilter ? arguments.get(1) : null;
        Ast body = arguments.get(arguments.size() - 1);
        return new Ast.Comprehension(macro, range, variable.name(), filter, body, name.position());
    }

    /** Expressions separated by commas, up to the symbol that ends them; a comma may stand before it. */
    private List<Ast> expressionsUntil(String end) throws ExpressionException {
        List<Ast> expressions = new ArrayList<>();
        while (!takeIf(end)) {
            expressions.add(expression());
            if (!takeIf(",")) {
                expect(end);
                break;
            }
        }
        return expressions;
    }

    // ---------------------------------------------------------------- primaries

    private Ast primary() throws ExpressionException {
        Token token = take();
        if (token.kind() == Token.Kind.LITERAL) {
            return literal(token);
        }
        if (token.isSymbol("(")) {
            Ast inner = expression();
            expect(")");
            return inner;
        }
        if (token.isSymbol("[")) {
            return new Ast.CreateList(expressionsUntil("]"), token.position());
        }
        if (token.isSymbol("{")) {
            return map(token);
        }
        if (token.kind() != Token.Kind.NAME) {
            throw unexpected(token, "an expression");
        }
        return word(token);
    }

    private Ast literal(Token token) throws ExpressionException {
        if (token.value() == Lexer.MIN_INT_MAGNITUDE) {
            throw fault(token, "a number that 64 bits do not hold");
        }
        return new Ast.Literal(token.value(), token.position());
    }

    /** A literal, an identifier or a global call. */
    private Ast word(Token token) throws ExpressionException {
        String word = (String) token.value();
        if (LITERAL_WORDS.containsKey(word)) {
            return new Ast.Literal(LITERAL_WORDS.get(word), token.position());
        }
        if (RESERVED_WORDS.contains(word)) {
            throw fault(token, "'" + word + "' is a reserved word");
        }
        if (!takeIf("(")) {
            return new Ast.Identifier(word, token.position());
        }
        List<Ast> arguments = expressionsUntil(")");
        return word.equals("has")
                ? presenceTest(token, arguments)
                : new Ast.Call(word, false, arguments, token.position());
    }

    private Ast presenceTest(Token has, List<Ast> arguments) throws ExpressionException {
        if (arguments.size() != 1 || !(arguments.get(0) instanceof Ast.Select select) || select.testOnly()) {
            throw fault(has, "has takes a selection, such as has(a.b)");
        }
        return new Ast.Select(select.operand(), select.field(), true, select.position());
    }

    private Ast map(Token open) throws ExpressionException {
        List<Ast> keys = new ArrayList<>();
        List<Ast> values = new ArrayList<>();
        while (!takeIf("}")) {
            keys.add(expression());
            expect(":");
            values.add(expression());
            if (!takeIf(",")) {
                expect("}");
                break;
            }
        }
        return new Ast.CreateMap(keys, values, open.position());
    }
}
