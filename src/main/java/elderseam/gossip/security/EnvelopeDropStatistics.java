package elderseam.gossip.security;

import elderseam.gossip.DropCounters;
import java.net.InetAddress;
import java.util.LinkedHashMap;
import java.util.Map;

/** How many envelopes were dropped, by reason, and by source for the sources of late. */
final class EnvelopeDropStatistics {
    private static final int MAX_SOURCES = 1_024;

    private static final class SourceCount {
        long count;
    }

    /** Forgets the source that was counted least recently. */
    private static final class RecentSources extends LinkedHashMap<InetAddress, SourceCount> {
        private static final long serialVersionUID = 1;
        private static final int INITIAL_CAPACITY = 16;
        private static final float LOAD_FACTOR = 0.75f;

        RecentSources() {
            super(INITIAL_CAPACITY, LOAD_FACTOR, true);
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<InetAddress, SourceCount> eldest) {
            return size() > MAX_SOURCES;
        }
    }

    private final DropCounters<EnvelopeDropReason> byReason = new DropCounters<>(EnvelopeDropReason.class);
    private final Map<InetAddress, SourceCount> bySource = new RecentSources();

    void increment(EnvelopeDropReason reason, InetAddress source) {
        byReason.increment(reason);
        bySource.computeIfAbsent(source, address -> new SourceCount()).count++;
    }

    long count(EnvelopeDropReason reason) {
        return byReason.count(reason);
    }

    /** Returns how many were dropped from that source; 0 also if the source was forgotten. */
    long countFrom(InetAddress source) {
        SourceCount counted = bySource.get(source);
        return counted == null ? 0 : counted.count;
    }

    int sourceCount() {
        return bySource.size();
    }
}
