/**
 * Who may speak to an instance, and how it knows that they did: the roster of keys and addresses, this instance's own key, and
 * the door that opens or drops each datagram. Files are read here, no socket is; time and randomness come in as arguments.
 * Knows {@link elderseam.gossip} and its bytes, and the settings' way to tell faults.
 */
package elderseam.gossip.security;
