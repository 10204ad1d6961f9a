package elderseam.gossip;

import java.util.List;

/**
 * This member's own configuration: the identity that it announces to the fleet, and the seeds.
 *
 * @param address {@code ADDRESS:PORT} at which other members reach it
 * @param seeds addresses of members through which it joins the fleet
 * @param incarnation higher than that of any earlier run of this member, such as the wall clock in milliseconds at the
 *     start
 */
public record LocalMember(String name, String address, List<String> seeds, long incarnation) {
    public LocalMember {
        seeds = List.copyOf(seeds);
    }
}
