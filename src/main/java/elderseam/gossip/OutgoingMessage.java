package elderseam.gossip;

import java.util.List;

/**
 * A message to be sent, before queued updates and reports are piggybacked on it.
 *
 * @param to the receiver's name
 * @param requiredUpdates updates that are always piggybacked on this message, whatever else is queued
 */
record OutgoingMessage(String to, Message message, List<MembershipUpdate> requiredUpdates) {}
