package elderseam.gossip;

import java.util.List;

/**
 * A message to be sent, before anything else is piggybacked on it.
 *
 * @param to the receiver's name
 * @param requiredUpdates updates that travel with this message in any case
 */
record OutgoingMessage(String to, Message message, List<MembershipUpdate> requiredUpdates) {}
