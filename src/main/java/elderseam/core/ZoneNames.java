package elderseam.core;

import elderseam.policy.PolicyEvents;
import java.util.List;

/**
 * The names of the deployment's zones, by which the journal refers to them: their numbers, by which the policy does, are places
 * in the settings, which a later process may read with other zones or in another order.
 *
 * @param names in the order of the settings
 */
record ZoneNames(List<String> names) {
    ZoneNames {
        names = List.copyOf(names);
    }

    /** The name of a zone; empty if the number is none of a zone. */
    String nameOf(int zone) {
        return zone >= 0 && zone < names.size() ? names.get(zone) : "";
    }

    /** The number of a zone; {@link PolicyEvents#UNKNOWN_ZONE} if no zone has this name. */
    int numberOf(String name) {
        int number = names.indexOf(name);
        return number < 0 ? PolicyEvents.UNKNOWN_ZONE : number;
    }
}
