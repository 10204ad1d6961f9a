/**
 * The dispatcher's core: requests and attempts, the journal, recovery after a crash and handover to the next process.
 *
 * <p>{@link elderseam.core.RequestDispatcher} accepts messages from {@link elderseam.core.Frontend frontends}, has
 * the policy decide on them (through {@code PolicyFacade} and {@code DecisionLoop}) and sends attempts through {@link
 * elderseam.core.AttemptSender}. Every message has exactly one {@link elderseam.core.FinalOutcome}. State that must
 * survive the process is stored in the {@link elderseam.core.Journal}; state that is useful but not required after a
 * restart is stored in {@link elderseam.core.PolicySnapshots}.
 *
 * <p>All state is confined to the thread of the {@link elderseam.core.EventLoop}. Times are nanoseconds on {@link
 * elderseam.core.Clock#now}, except that names ending in {@code Ms} denote wall-clock milliseconds. This package does
 * not depend on sockets, HTTP or the rule language.
 */
package elderseam.core;
