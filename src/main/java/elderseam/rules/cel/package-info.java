/**
 * The language of rules: the Common Expression Language, read, typed, bounded and evaluated. Source to tokens ({@code Lexer}) to a
 * tree ({@code Parser}) to a checked tree with a type at each node ({@code Checker}) and a worst-case cost ({@code Bounds});
 * {@code Evaluator} is the reference, a walk over the tree that counts as it goes. No I/O, no clock; knows nothing of the rest of
 * the program.
 */
package elderseam.rules.cel;
