package elderseam.http;

import java.net.InetSocketAddress;

/**
 * The id and the address of an endpoint. Idle connections are pooled by both, since an address may be reassigned to
 * another endpoint.
 *
 * @param id the endpoint's id in the endpoint list
 * @param address host and port, separated by a colon
 */
public record EndpointAddress(String id, String address) {
    /** Returns the socket address to connect to; null if {@link #address()} is not a host and a port. */
    InetSocketAddress socketAddress() {
        int colon = address.lastIndexOf(':');
        if (colon < 1) {
            return null;
        }
        String host = address.substring(0, colon);
        try {
            return new InetSocketAddress(host, Integer.parseInt(address.substring(colon + 1)));
        } catch (IllegalArgumentException e) {
            return null; // the port is not a number or is out of range
        }
    }
}
