package elderseam.http;

import java.net.InetSocketAddress;

/** Another host, and where it is reached. Connections are kept for both together: an address may pass to another host. */
public record EndpointAddress(String id, String address) {
    /** Null where the address is none. */
    InetSocketAddress socket() {
        int colon = address.lastIndexOf(':');
        try {
            return colon < 1
                    ? null
                    : new InetSocketAddress(
                            address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
        } catch (IllegalArgumentException e) {
            return null;
        }
    }
}
