package elderseam.gossip.transport;

import java.net.InetSocketAddress;
import java.util.regex.Pattern;

/** Formats and parses member addresses of the form {@code ADDRESS:PORT}, with an IPv6 address in brackets. */
final class MemberAddresses {
    private static final Pattern BRACKETS = Pattern.compile("[\\[\\]]");

    private MemberAddresses() {}

    static String format(InetSocketAddress address) {
        String host = address.getAddress().getHostAddress();
        boolean isIpv6 = host.indexOf(':') >= 0;
        return (isIpv6 ? "[" + host + "]" : host) + ":" + address.getPort();
    }

    /** Parses a numeric address; since it is numeric, no host name is resolved. */
    static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        String host = BRACKETS.matcher(text.substring(0, colon)).replaceAll("");
        return new InetSocketAddress(host, Integer.parseInt(text.substring(colon + 1)));
    }
}
