/**
 * The dispatcher's core: requests and attempts, the journal, recovery after a crash and handover to the next process.
 *
 * <p>{@link elderseam.core.RequestDispatcher} accepts messages from {@link elderseam.core.Frontend frontends}, has
 * the policy decide on them (by way of {@code PolicyFacade} and {@code DecisionLoop}) and sends attempts through
 * {@link elderseam.core.AttemptSender}. Every message has exactly one {@link elderseam.core.FinalOutcome}. What must
 * outlast the process is in the {@link elderseam.core.Journal}; what is only worth keeping is in {@link
 * elderseam.core.PolicySnapshots}.
 *
 * <p>All state is confined to one thread, seen as {@link elderseam.core.EventLoop}; all times are nanoseconds of
 * {@link elderseam.core.Clock#now} unless a name ends in {@code Ms}, which is wall-clock milliseconds. The core knows
 * no socket, no HTTP and no rule language.
 */
package elderseam.core;
