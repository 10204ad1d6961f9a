/**
 * Gossip's sockets on the one I/O thread: datagrams ({@link elderseam.gossip.transport.DatagramTransport}), connections for
 * full state exchanges ({@link elderseam.gossip.transport.StreamTransport}), and {@link
 * elderseam.gossip.transport.GossipTransport}, which connects both with the agent.
 */
package elderseam.gossip.transport;
