package elderseam.gossip;

import java.util.List;

/**
 * This member, as it introduces itself to the fleet.
 *
 * @param address {@code ADDRESS:PORT} at which others reach it
 * @param seeds addresses of members to join through
 * @param incarnation above that of any earlier run of this member, such as the wall clock in milliseconds at the start
 */
public record LocalMember(String name, String address, List<String> seeds, long incarnation) {
    public LocalMember {
        seeds = List.copyOf(seeds);
    }
}
