package elderseam.gossip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** The merge of health reports as a join semilattice, their expiry and their bounds. */
class HealthReportTableTest {
    private static final long SECOND_NS = 1_000_000_000L;
    private static final int UNBOUNDED = 100; // more than any test's destinations
    private static final int MAX_DESTINATIONS = 10;
    private static final Comparator<HealthReport> BY_ALL_FIELDS = Comparator.comparing(HealthReport::reporter)
            .thenComparingLong(HealthReport::destination)
            .thenComparing(HealthReport.BY_AGE);

    // ---------------------------------------------------------------- merging

    @Provide
    Arbitrary<List<HealthReport>> reports() {
        Arbitrary<HealthReport> report = Combinators.combine(
                        Arbitraries.of("a", "b", "c"),
                        Arbitraries.longs().between(0, 2),
                        Arbitraries.longs().between(0, 3),
                        Arbitraries.longs().between(1, 3),
                        Arbitraries.of(HealthReport.State.class),
                        Arbitraries.integers().between(0, 2))
                .as((reporter, incarnation, sequence, destination, state, retryAfterMs) -> new HealthReport(
                        reporter, incarnation, sequence, destination, state, retryAfterMs, 4, retryAfterMs, 1));
        return report.list().ofMaxSize(12);
    }

    private static HealthReportTable tableOf(List<HealthReport> reports) {
        HealthReportTable table = new HealthReportTable(UNBOUNDED);
        reports.forEach(report -> table.add(report, 0));
        return table;
    }

    private static Set<HealthReport> held(HealthReportTable table) {
        Set<HealthReport> reports = new TreeSet<>(BY_ALL_FIELDS);
        reports.addAll(table.all());
        return reports;
    }

    private static HealthReportTable merge(HealthReportTable first, HealthReportTable second) {
        HealthReportTable merged = tableOf(first.all());
        second.all().forEach(report -> merged.add(report, 0));
        return merged;
    }

    @Property
    void mergingIsCommutative(
            @ForAll("reports") List<HealthReport> first, @ForAll("reports") List<HealthReport> second) {
        assertEquals(held(merge(tableOf(first), tableOf(second))), held(merge(tableOf(second), tableOf(first))));
    }

    @Property
    void mergingIsAssociative(
            @ForAll("reports") List<HealthReport> first,
            @ForAll("reports") List<HealthReport> second,
            @ForAll("reports") List<HealthReport> third) {
        HealthReportTable firstTwo = merge(tableOf(first), tableOf(second));
        HealthReportTable lastTwo = merge(tableOf(second), tableOf(third));
        assertEquals(held(merge(firstTwo, tableOf(third))), held(merge(tableOf(first), lastTwo)));
    }

    @Property
    void mergingIsIdempotent(@ForAll("reports") List<HealthReport> reports) {
        assertEquals(held(tableOf(reports)), held(merge(tableOf(reports), tableOf(reports))));
    }

    /** Whatever the order of arrival. */
    @Property
    void theNewestOfEachReporterAndDestinationIsHeld(@ForAll("reports") List<HealthReport> reports) {
        for (HealthReport held : tableOf(reports).all()) {
            assertTrue(reports.stream()
                    .filter(report ->
                            report.reporter().equals(held.reporter()) && report.destination() == held.destination())
                    .allMatch(report -> HealthReport.BY_AGE.compare(report, held) <= 0));
        }
    }

    // ---------------------------------------------------------------- expiry and bounds

    private static HealthReport openReport(String reporter, long sequence, long destination) {
        return new HealthReport(reporter, 1, sequence, destination, HealthReport.State.OPEN, 3_000, 20, 15, 10_000);
    }

    /** A report is current for ten seconds from when it was received; an older one does not return after it. */
    @Example
    void reportsExpireByTheHoldersClock() {
        HealthReportTable table = new HealthReportTable(MAX_DESTINATIONS);
        HealthReport report = openReport("a", 2, 1);
        assertTrue(table.add(report, 0));
        assertEquals(2 * SECOND_NS, table.remainingRetryAfterNs(report, SECOND_NS));
        assertEquals(0, table.remainingRetryAfterNs(report, 4 * SECOND_NS));
        assertEquals(1, table.currentReports(1, HealthReportTable.TTL_NS - 1).size());
        assertEquals(0, table.currentReports(1, HealthReportTable.TTL_NS).size());
        assertFalse(table.add(openReport("a", 1, 1), HealthReportTable.TTL_NS + 1), "older than one that was held");
        table.removeOutdated(HealthReportTable.RETENTION_NS);
        assertEquals(0, table.all().size());
    }

    /** Of a reporter with ever new destinations only the newest reports are held. */
    @Example
    void eachReporterHasABound() {
        HealthReportTable table = new HealthReportTable(MAX_DESTINATIONS);
        for (int i = 0; i < 1_000; i++) {
            table.add(openReport("a", i, i), 0);
            table.add(openReport("b", 1, i % 5), 0);
        }
        assertEquals(MAX_DESTINATIONS + 5, table.all().size());
        assertEquals(
                List.of("a"),
                table.currentReports(999, 0).stream()
                        .map(HealthReport::reporter)
                        .toList());
    }

    @Example
    void moreFailuresThanCallsAreNoReport() {
        assertThrows(
                IllegalArgumentException.class,
                () -> new HealthReport("a", 1, 1, 1, HealthReport.State.OPEN, 0, 3, 4, 1));
    }
}
