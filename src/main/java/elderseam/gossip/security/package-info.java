/**
 * Authentication of gossip packets: the roster of members' keys and addresses ({@link
 * elderseam.gossip.security.Roster}), this member's own key ({@link elderseam.gossip.security.KeyFile}), and the signed
 * envelopes of packets ({@link elderseam.gossip.security.PacketAuthenticator}). The package reads files but opens no
 * sockets; callers pass in the time and the source of randomness.
 */
package elderseam.gossip.security;
