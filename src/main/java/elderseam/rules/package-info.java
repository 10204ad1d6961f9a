/**
 * The operator's rules: loads rules files and applies them to requests, with tables of rules, routes, rate limits and
 * idempotency keys.
 *
 * <p>{@link elderseam.rules.RuleLoader} reads files into a {@link elderseam.rules.Rulebook}, of which {@link
 * elderseam.rules.RuleEngine} keeps the one in force and those whose keys are still remembered. A rulebook evaluates
 * its rules on a {@code RuleInput} and writes to a {@code RuleResult}. Evaluation does no I/O, reads no clock, and is
 * confined to one thread. Examples and {@code rules eval} apply rules to a {@link elderseam.rules.SampleRequest}.
 *
 * <p>The package depends on the expression language, the settings' files and faults, and the core's messages and {@code
 * RequestAttributes}; it knows neither front ends, sockets nor the journal.
 */
package elderseam.rules;
