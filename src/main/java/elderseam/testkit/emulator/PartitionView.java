package elderseam.testkit.emulator;

import elderseam.core.RequestDispatcher;
import elderseam.fleet.partition.EndpointSubsetting;
import elderseam.fleet.partition.FleetSizeEstimator;
import elderseam.policy.EndpointStatus;
import elderseam.policy.ListUpdateKind;
import elderseam.policy.ListedEndpoint;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What an emulated dispatcher is told of its part of what all do: the shipped decisions ({@link FleetSizeEstimator}, {@link EndpointSubsetting}) on a
 * membership that is late, as gossip's is: one that comes is seen by each after its own half to one and a half seconds, one that goes
 * after five to eight (a suspicion of 4 s and a probe's wait), where it was not back before.
 */
final class PartitionView {
    private static final long S = 1_000_000_000L;
    private static final long HOLD_NS = 20 * S;
    private static final long LOOK_NS = 250_000_000L;

    /** What each dispatcher knows of the others. */
    static final class View {
        private final Set<Integer> seen = new HashSet<>();
        private final Map<Integer, Long> changes = new HashMap<>(); // the last change of each that is on its way

        /** {@code at}: when this one sees it; a later change of the same one, seen first, wins. */
        void changes(VirtualTime time, int who, boolean up, long at) {
            changes.put(who, at);
            time.at(at, () -> {
                if (changes.get(who) == at) {
                    if (up) {
                        seen.add(who);
                    } else {
                        seen.remove(who);
                    }
                }
            });
        }
    }

    private final EmulatedDispatcher.Place place;
    private final RequestDispatcher relay;
    private final FleetSizeEstimator size;
    private final Map<Long, List<String>> listed = new HashMap<>();
    private Set<Integer> members = Set.of();
    private Set<String> preferred = Set.of();
    private int sharers;
    private boolean changed;

    PartitionView(EmulatedDispatcher.Place place, RequestDispatcher relay) {
        this.place = place;
        this.relay = relay;
        this.size = new FleetSizeEstimator(place.plan().fleet().dispatchers(), HOLD_NS);
        place.at(place.time().now(), this::look);
    }

    void hosts(ListUpdateKind kind, List<ListedEndpoint> list) {
        if (kind == ListUpdateKind.COMPLETE) {
            listed.clear();
        }
        for (ListedEndpoint e : list) {
            List<String> of = listed.computeIfAbsent(e.destination(), d -> new ArrayList<>());
            of.remove(e.address());
            if (e.status() == EndpointStatus.READY) {
                of.add(e.address());
            }
        }
        changed = true;
    }

    private void look() {
        Set<Integer> now = new HashSet<>(place.view().seen);
        now.add(place.number());
        size.observe(place.time().now(), now.size());
        int by = size.estimate(place.time().now());
        if (changed || by != sharers || !now.equals(members)) {
            changed = false;
            sharers = by;
            members = now;
            List<String> names = now.stream().map(n -> "m" + n).toList();
            Set<String> all = new HashSet<>();
            listed.values().forEach(all::addAll);
            preferred = EndpointSubsetting.preferred(
                    "m" + place.number(), names, listed, place.plan().fleet().connections(), 1);
            relay.setFleetShare(sharers, e -> preferred.contains(e) || !all.contains(e), 1);
        }
        place.at(place.time().now() + LOOK_NS, this::look);
    }
}
