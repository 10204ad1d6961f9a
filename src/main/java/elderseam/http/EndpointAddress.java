package elderseam.http;

import java.net.InetSocketAddress;

/**
 * An endpoint and where it is reached. Connections are kept for both together, since an address may pass to another
 * endpoint.
 *
 * @param id the endpoint's id in the endpoint list
 * @param address host and port, separated by a colon
 */
public record EndpointAddress(String id, String address) {
    /** The address to connect to; null if it is not a host and a port. */
    InetSocketAddress socketAddress() {
        int colon = address.lastIndexOf(':');
        if (colon < 1) {
            return null;
        }
        String host = address.substring(0, colon);
        try {
            return new InetSocketAddress(host, Integer.parseInt(address.substring(colon + 1)));
        } catch (IllegalArgumentException e) {
            return null; // no number, or not one of a port
        }
    }
}
