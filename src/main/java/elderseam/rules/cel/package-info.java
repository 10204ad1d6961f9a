/**
 * The Common Expression Language (CEL), in which operators write their rules. An expression passes through these stages:
 *
 * <ol>
 *   <li>{@code Lexer} turns the text into tokens, and {@code Parser} the tokens into a syntax tree ({@code Ast});
 *   <li>{@code NameResolver} turns chains of selections into the identifiers that the {@link elderseam.rules.cel.Scope} declares;
 *   <li>{@code Checker} gives each node a type, and {@code CostEstimator} the expression a worst-case cost;
 *   <li>{@code Planner} compiles the checked tree to a {@link elderseam.rules.cel.Program} of steps, which requests are evaluated with.
 * </ol>
 *
 * <p>{@code Evaluator} is the reference implementation, a walk over the tree; tests compare the compiled form with it and with the
 * library of CEL's authors. The package does no I/O, reads no clock and depends on no other package of the program.
 *
 * <p>Source of syntax and semantics: the CEL specification, https://github.com/google/cel-spec, {@code doc/langdef.md}.
 */
package elderseam.rules.cel;
