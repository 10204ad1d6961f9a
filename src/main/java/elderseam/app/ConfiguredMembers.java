package elderseam.app;

import elderseam.gossip.HealthReport;
import java.util.List;
import java.util.stream.IntStream;

/**
 * A fixed number of members, as the platform's configuration says; they report nothing of their breakers.
 *
 * @param index which of them this one is, from 0
 * @param count how many there are
 */
record ConfiguredMembers(int index, int count) implements PartitionMembers {
    private static String name(int index) {
        return "m" + index;
    }

    @Override
    public String self() {
        return name(index);
    }

    @Override
    public List<String> present() {
        return IntStream.range(0, count).mapToObj(ConfiguredMembers::name).toList();
    }

    @Override
    public List<HealthReport> reports(long destination) {
        return List.of();
    }
}
