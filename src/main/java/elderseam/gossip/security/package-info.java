/**
 * Authentication of gossip: the roster of members' keys and addresses ({@link elderseam.gossip.security.Roster}), this
 * member's own key ({@link elderseam.gossip.security.KeyFile}), and the signed envelopes of packets ({@link
 * elderseam.gossip.security.PacketAuthenticator}). Reads files, but opens no socket; time and randomness are arguments.
 */
package elderseam.gossip.security;
