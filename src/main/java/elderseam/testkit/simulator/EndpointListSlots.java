package elderseam.testkit.simulator;

import elderseam.policy.ListedEndpoint;
import java.util.List;

/** The endpoint lists that the simulator has sent, in numbered slots; a later list replaces the one in its slot. */
final class EndpointListSlots {
    static final int SLOT_COUNT = 16;

    /** Null in a slot that holds no list yet. */
    @SuppressWarnings({"unchecked", "rawtypes"})
    private final List<ListedEndpoint>[] lists = new List[SLOT_COUNT];

    /** Stores a list; the slot is below {@link #SLOT_COUNT}. */
    void store(int slot, List<ListedEndpoint> endpoints) {
        lists[slot] = endpoints;
    }

    /**
     * Returns the list in a slot.
     *
     * @param slotField the slot's number as read from {@code fields}
     * @throws WireException if this is no number or its slot holds no list
     */
    List<ListedEndpoint> get(String slotField, LineFields fields) {
        long slot = fields.parseNumber(slotField, "list slot");
        if (slot < 0 || slot >= SLOT_COUNT || lists[(int) slot] == null) {
            throw fields.fault("no list in slot " + slot);
        }
        return lists[(int) slot];
    }
}
