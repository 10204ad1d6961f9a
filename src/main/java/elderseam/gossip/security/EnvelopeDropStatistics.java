package elderseam.gossip.security;

import elderseam.gossip.DropCounters;
import java.net.InetAddress;
import java.util.LinkedHashMap;
import java.util.Map;

/** Counts dropped envelopes by reason, and by source address for the most recent sources. Not thread-safe. */
final class EnvelopeDropStatistics {
    private static final int MAX_SOURCES = 1_024;

    private static final class SourceCount {
        long count;
    }

    /** Evicts the least recently counted source, so that a flood from many addresses can't exhaust memory. */
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

    /** Returns how many envelopes from the source were dropped; 0 also if the source was evicted. */
    long countFrom(InetAddress source) {
        SourceCount counted = bySource.get(source);
        return counted == null ? 0 : counted.count;
    }

    int sourceCount() {
        return bySource.size();
    }
}
