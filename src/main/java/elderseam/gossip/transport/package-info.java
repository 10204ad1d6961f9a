/**
 * The sockets for gossip, all served by the single I/O thread: datagrams ({@link
 * elderseam.gossip.transport.DatagramTransport}), connections for full state exchanges ({@link
 * elderseam.gossip.transport.StreamTransport}), and {@link elderseam.gossip.transport.GossipTransport}, which connects
 * both to the gossip agent.
 */
package elderseam.gossip.transport;
