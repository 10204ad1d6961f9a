package elderseam.testkit.gossip;

/**
 * What one member has sent in some time.
 *
 * @param bytes in datagrams and over connections, with their envelopes
 * @param datagrams how many datagrams
 */
public record SentTraffic(long bytes, long datagrams) {}
