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
 * The newest health report of each reporter and destination. The state is a join semilattice, the product of one maximum for
 * each reporter and destination, so merging is commutative, associative and idempotent. A report expires by the holder's own
 * clock, counted from when it was first received here; it stays remembered for longer, so that an older one can't return.
 *
 * <p>Bounded by a number of destinations for each reporter; the caller bounds the reporters by a roster.
 */
final class HealthReportTable {
    /** For how long a report is current, from when it was received. */
    static final long TTL_NS = TimeUnit.SECONDS.toNanos(10);
    /** For how long a report is remembered against older ones, from when it was received. */
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

    /** Starts empty. */
    HealthReportTable(int maxDestinationsPerReporter) {
        this.maxDestinationsPerReporter = maxDestinationsPerReporter;
    }

    /** Adds the report if it is newer than what is held; whether it was added. A full reporter loses its oldest report. */
    boolean add(HealthReport report, long nowNs) {
        Map<Long, Entry> byDestination = byReporter.computeIfAbsent(report.reporter(), reporter -> new HashMap<>());
        Entry held = byDestination.get(report.destination());
        if (held != null && !held.isOlderThan(report)) {
            return false;
        }
        if (held == null && byDestination.size() >= maxDestinationsPerReporter) {
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

    /** Returns what is held of the report's reporter and destination; null if nothing is. */
    private Entry held(HealthReport report) {
        return byReporter.getOrDefault(report.reporter(), Map.of()).get(report.destination());
    }

    /** Whether the report is newer than what is held of its reporter and destination. */
    boolean isNewer(HealthReport report) {
        Entry held = held(report);
        return held == null || held.isOlderThan(report);
    }

    /** Whether this very report is held. */
    boolean contains(HealthReport report) {
        Entry held = held(report);
        return held != null && held.report.equals(report);
    }

    /** Whether this very report is held, and has not expired. */
    boolean isCurrent(HealthReport report, long nowNs) {
        Entry held = held(report);
        return held != null && held.report.equals(report) && held.isCurrent(nowNs);
    }

    /** Returns the destinations of which any reporter but {@code excluded} has a current report, in ascending order. */
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

    /** Returns the current reports of one destination. */
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

    /** Returns what is left of the Retry-After of a held report, in nanoseconds by this clock; 0 if it is over. */
    long remainingRetryAfterNs(HealthReport report, long nowNs) {
        Entry held = held(report);
        if (held == null) {
            return 0;
        }
        long retryAfterNs = Math.min(TTL_NS, TimeUnit.MILLISECONDS.toNanos(report.retryAfterMs()));
        return Math.max(0, retryAfterNs - (nowNs - held.receivedAtNs));
    }

    /** Returns every report that is held, also expired ones. */
    List<HealthReport> all() {
        List<HealthReport> reports = new ArrayList<>();
        byReporter.values().forEach(entries -> entries.values().forEach(entry -> reports.add(entry.report)));
        return reports;
    }

    /** Removes the reports that need not be remembered any more. */
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
