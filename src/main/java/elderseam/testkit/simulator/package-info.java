/**
 * Runs the dispatch policy under the external simulator: events arrive as lines of text on one stream, the policy's actions leave as
 * lines on another, without sockets, threads or a clock of its own.
 *
 * <p>{@link elderseam.testkit.simulator.SimulatorHost} reads the batches, {@code PolicyEventDecoder} and {@code WireCodec} turn lines
 * into the policy's records, and {@code HostedPolicy} holds one policy and writes its actions. The words of the wire are the
 * simulator's; where they differ from the words of this project, the code that reads or writes them says so.
 */
package elderseam.testkit.simulator;
