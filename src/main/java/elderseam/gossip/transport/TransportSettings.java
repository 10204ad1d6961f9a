package elderseam.gossip.transport;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * Where and under which name a member gossips.
 *
 * @param advertisedAddress {@code ADDRESS:PORT} that others are given; empty for the one it listens on
 * @param seeds {@code ADDRESS:PORT} of members to join through
 * @param maxBytesPerSecond limit on the datagrams that it sends
 * @param maxDatagramsPerSecond likewise
 */
public record TransportSettings(
        String name,
        InetSocketAddress listenAddress,
        String advertisedAddress,
        List<String> seeds,
        double maxBytesPerSecond,
        double maxDatagramsPerSecond) {}
