package elderseam.gossip.transport;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * The name, addresses and send limits of a gossip member.
 *
 * @param advertisedAddress {@code ADDRESS:PORT} that other members use to reach this one; empty to use the listen
 *     address
 * @param seeds {@code ADDRESS:PORT} of each member through which to join
 * @param maxBytesPerSecond limit on the total size of sent datagrams
 * @param maxDatagramsPerSecond limit on the number of sent datagrams
 */
public record TransportSettings(
        String name,
        InetSocketAddress listenAddress,
        String advertisedAddress,
        List<String> seeds,
        double maxBytesPerSecond,
        double maxDatagramsPerSecond) {}
