/**
 * The gossip's sockets on the one I/O thread: datagrams, full exchanges over connections, and the post that ties them to the
 * decisions. Knows {@link elderseam.gossip}, its trust and {@link elderseam.http.IoLoop}; nothing of streams or of the module.
 */
package elderseam.gossip.transport;
