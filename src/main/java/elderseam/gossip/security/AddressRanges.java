package elderseam.gossip.security;

import inet.ipaddr.AddressStringException;
import inet.ipaddr.IPAddress;
import inet.ipaddr.IPAddressNetwork;
import inet.ipaddr.IPAddressString;
import java.net.InetAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;

/** Parses the address ranges of a roster and the addresses that are checked against them. Never resolves host names. */
public final class AddressRanges {
    private static final int MAX_RANGES = 16;
    private static final Pattern RANGE = Pattern.compile("[0-9a-fA-F.:]+(/\\d{1,3})?");
    private static final Pattern ADDRESS = Pattern.compile("[0-9a-fA-F.:]+");
    private static final Pattern PORT = Pattern.compile("\\d{1,5}");
    private static final IPAddressNetwork.IPAddressGenerator GENERATOR = new IPAddressNetwork.IPAddressGenerator();

    private AddressRanges() {}

    /** Describes the first fault in a comma-separated list of ranges; empty if the list is valid. */
    public static Optional<String> findFault(String list) {
        String[] ranges = list.split(",", -1);
        for (String range : ranges) {
            if (parseRange(range).isEmpty()) {
                return Optional.of("'" + range
                        + "' is not an address range, allowed: ADDRESS or ADDRESS/BITS with all host bits 0");
            }
        }
        return ranges.length > MAX_RANGES
                ? Optional.of(ranges.length + " ranges, allowed: " + MAX_RANGES)
                : Optional.empty();
    }

    /** Parses a list of ranges that is valid according to {@link #findFault}. */
    static List<IPAddress> parse(String list) {
        List<IPAddress> ranges = new ArrayList<>();
        for (String range : list.split(",", -1)) {
            parseRange(range).ifPresent(ranges::add);
        }
        return List.copyOf(ranges);
    }

    private static Optional<IPAddress> parseRange(String text) {
        if (!RANGE.matcher(text).matches()) {
            return Optional.empty();
        }
        // host bits that are not 0 are most likely a typing error
        return parseAddress(text).filter(range -> !range.isPrefixed() || range.isPrefixBlock());
    }

    /** Parses the address of {@code ADDRESS:PORT}; empty if the text is not of that form. */
    static Optional<IPAddress> parseHost(String addressAndPort) {
        int colon = addressAndPort.lastIndexOf(':');
        if (colon < 1 || !PORT.matcher(addressAndPort.substring(colon + 1)).matches()) {
            return Optional.empty();
        }
        String host = withoutBrackets(addressAndPort.substring(0, colon));
        return ADDRESS.matcher(host).matches() ? parseAddress(host) : Optional.empty();
    }

    private static String withoutBrackets(String host) {
        return host.startsWith("[") && host.endsWith("]") ? host.substring(1, host.length() - 1) : host;
    }

    private static Optional<IPAddress> parseAddress(String text) {
        try {
            return Optional.ofNullable(new IPAddressString(text).toAddress());
        } catch (AddressStringException | RuntimeException e) {
            // the library throws various unchecked exceptions for text that it can parse but not represent
            return Optional.empty();
        }
    }

    static IPAddress of(InetAddress address) {
        return GENERATOR.from(address);
    }
}
