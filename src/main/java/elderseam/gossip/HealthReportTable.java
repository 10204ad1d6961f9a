package elderseam.gossip;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

/**
 * Stores the newest health report of each reporter and destination. The state is a join semilattice, the product of one
 * maximum for each reporter and destination, so merging is commutative, associative and idempotent. The expiry time of
 * a report runs from its first receipt by this member, by this member's clock. An expired report is retained for some
 * time, so that an older report that arrives late is not accepted as new.
 *
 * <p>The number of destinations for each reporter is bounded; the caller limits the reporters to the roster.
 */
final class HealthReportTable {
    /** Time after receipt at which a report expires. */
    static final long TTL_NS = TimeUnit.SECONDS.toNanos(10);
    /** Time after receipt at which a report is removed; until then older reports are refused. */
    static final long RETENTION_NS = TimeUnit.SECONDS.toNanos(120);

    private record Entry(HealthReport report, long receivedAtNs) {
        boolean isCurrent(long nowNs) {
            return nowNs - receivedAtNs < TTL_NS;
        }

        boolean isOlderThan(HealthReport other) {
            return HealthReport.BY_AGE.compare(report, other) < 0;
        }
    }

    private final int maxDestinationsPerReporter;
    private final Map<String, Map<Long, Entry>> byReporter = new HashMap<>();

    /** Creates an empty table. */
    HealthReportTable(int maxDestinationsPerReporter) {
        this.maxDestinationsPerReporter = maxDestinationsPerReporter;
    }

    /**
     * Adds the report if it is newer than the stored one of its reporter and destination. If the reporter already has
     * reports on the maximum number of destinations, the report replaces the oldest of these, unless that one is newer.
     *
     * @return whether the report was added
     */
    boolean add(HealthReport report, long nowNs) {
        Map<Long, Entry> byDestination = byReporter.computeIfAbsent(report.reporter(), reporter -> new HashMap<>());
        Entry stored = byDestination.get(report.destination());
        if (stored != null && !stored.isOlderThan(report)) {
            return false;
        }
        if (stored == null && byDestination.size() >= maxDestinationsPerReporter) {
            Entry oldest = oldest(byDestination);
            if (!oldest.isOlderThan(report)) {
                return false;
            }
            byDestination.remove(oldest.report.destination());
        }
        byDestination.put(report.destination(), new Entry(report, nowNs));
        return true;
    }

    private static Entry oldest(Map<Long, Entry> entries) {
        Entry oldest = null;
        for (Entry entry : entries.values()) {
            if (oldest == null || entry.isOlderThan(oldest.report)) {
                oldest = entry;
            }
        }
        return oldest;
    }

    /** Returns the entry of the report's reporter and destination; null if there is none. */
    private Entry storedEntry(HealthReport report) {
        return byReporter.getOrDefault(report.reporter(), Map.of()).get(report.destination());
    }

    /** Returns whether the report is newer than the stored one of its reporter and destination, or none is stored. */
    boolean isNewer(HealthReport report) {
        Entry stored = storedEntry(report);
        return stored == null || stored.isOlderThan(report);
    }

    /** Returns whether a report equal to this one is stored. */
    boolean contains(HealthReport report) {
        Entry stored = storedEntry(report);
        return stored != null && stored.report.equals(report);
    }

    /** Returns whether a report equal to this one is stored and has not expired. */
    boolean isCurrent(HealthReport report, long nowNs) {
        Entry stored = storedEntry(report);
        return stored != null && stored.report.equals(report) && stored.isCurrent(nowNs);
    }

    /**
     * Returns the destinations with a current report of any reporter other than {@code excluded}, in ascending order.
     */
    Set<Long> reportedDestinations(String excluded, long nowNs) {
        Set<Long> destinations = new TreeSet<>();
        byReporter.forEach((reporter, entries) -> {
            if (!reporter.equals(excluded)) {
                addCurrentDestinations(entries, nowNs, destinations);
            }
        });
        return destinations;
    }

    private static void addCurrentDestinations(Map<Long, Entry> entries, long nowNs, Set<Long> destinations) {
        entries.forEach((destination, entry) -> {
            if (entry.isCurrent(nowNs)) {
                destinations.add(destination);
            }
        });
    }

    /** Returns the reports of one destination that have not expired. */
    List<HealthReport> currentReports(long destination, long nowNs) {
        List<HealthReport> reports = new ArrayList<>();
        for (Map<Long, Entry> entries : byReporter.values()) {
            Entry entry = entries.get(destination);
            if (entry != null && entry.isCurrent(nowNs)) {
                reports.add(entry.report);
            }
        }
        return reports;
    }

    /**
     * Returns the time left of the Retry-After in a stored report, in nanoseconds; 0 if it has elapsed or the report is
     * not stored.
     */
    long remainingRetryAfterNs(HealthReport report, long nowNs) {
        Entry stored = storedEntry(report);
        if (stored == null) {
            return 0;
        }
        long retryAfterNs = Math.min(TTL_NS, TimeUnit.MILLISECONDS.toNanos(report.retryAfterMs()));
        return Math.max(0, retryAfterNs - (nowNs - stored.receivedAtNs));
    }

    /** Returns all stored reports, including expired ones. */
    List<HealthReport> all() {
        List<HealthReport> reports = new ArrayList<>();
        byReporter.values().forEach(entries -> entries.values().forEach(entry -> reports.add(entry.report)));
        return reports;
    }

    /** Removes the reports whose retention period has ended. */
    void removeOutdated(long nowNs) {
        Iterator<Map<Long, Entry>> reporters = byReporter.values().iterator();
        while (reporters.hasNext()) {
            Map<Long, Entry> entries = reporters.next();
            entries.values().removeIf(entry -> nowNs - entry.receivedAtNs >= RETENTION_NS);
            if (entries.isEmpty()) {
                reporters.remove();
            }
        }
    }

    /** Removes all reports of a member that is not on the roster any more. */
    void removeReporter(String reporter) {
        byReporter.remove(reporter);
    }
}
