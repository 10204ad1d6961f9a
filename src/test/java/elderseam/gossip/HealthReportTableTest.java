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

/** The merge of claims as a join semilattice, what one claim is worth, and what two buckets let pass. */
class HealthReportTableTest {
    private static final long S = 1_000_000_000L;
    private static final Comparator<HealthReport> ALL = Comparator.comparing(HealthReport::reporter)
            .thenComparingLong(HealthReport::destination)
            .thenComparing(HealthReport.AGE);

    @Provide
    Arbitrary<List<HealthReport>> claims() {
        Arbitrary<HealthReport> claim = Combinators.combine(
                        Arbitraries.of("a", "b", "c"),
                        Arbitraries.longs().between(0, 2),
                        Arbitraries.longs().between(0, 3),
                        Arbitraries.longs().between(1, 3),
                        Arbitraries.of(HealthReport.State.class),
                        Arbitraries.integers().between(0, 2))
                .as((r, i, n, d, state, wait) -> new HealthReport(r, i, n, d, state, wait, 4, wait, 1));
        return claim.list().ofMaxSize(12);
    }

    private static HealthReportTable of(List<HealthReport> claims) {
        HealthReportTable c = new HealthReportTable(100);
        claims.forEach(x -> c.hear(x, 0));
        return c;
    }

    private static Set<HealthReport> held(HealthReportTable c) {
        Set<HealthReport> all = new TreeSet<>(ALL);
        all.addAll(c.all());
        return all;
    }

    private static Set<HealthReport> merged(HealthReportTable a, HealthReportTable b) {
        HealthReportTable c = of(a.all());
        b.all().forEach(x -> c.hear(x, 0));
        return held(c);
    }

    @Property
    void mergingIsCommutative(@ForAll("claims") List<HealthReport> a, @ForAll("claims") List<HealthReport> b) {
        assertEquals(merged(of(a), of(b)), merged(of(b), of(a)));
    }

    @Property
    void mergingIsAssociative(
            @ForAll("claims") List<HealthReport> a,
            @ForAll("claims") List<HealthReport> b,
            @ForAll("claims") List<HealthReport> c) {
        HealthReportTable ab = of(List.copyOf(merged(of(a), of(b)))), bc = of(List.copyOf(merged(of(b), of(c))));
        assertEquals(merged(ab, of(c)), merged(of(a), bc));
    }

    @Property
    void mergingIsIdempotent(@ForAll("claims") List<HealthReport> a) {
        assertEquals(held(of(a)), merged(of(a), of(a)));
    }

    /** Whatever order, and however often, the newest of each reporter and destination is what is held. */
    @Property
    void theNewestOfEachIsHeld(@ForAll("claims") List<HealthReport> a) {
        for (HealthReport held : of(a).all()) {
            assertTrue(a.stream()
                    .filter(c -> c.reporter().equals(held.reporter()) && c.destination() == held.destination())
                    .allMatch(c -> HealthReport.AGE.compare(c, held) <= 0));
        }
    }

    private static HealthReport open(String reporter, long number, long destination) {
        return new HealthReport(reporter, 1, number, destination, HealthReport.State.OPEN, 3_000, 20, 15, 10_000);
    }

    /** It counts for ten seconds from when it was heard; an older one does not come back after it. */
    @Example
    void claimsExpireByTheHoldersClock() {
        HealthReportTable c = new HealthReportTable(10);
        assertTrue(c.hear(open("a", 2, 1), 0));
        assertEquals(2_000_000_000L, c.waitNs(open("a", 2, 1), S));
        assertEquals(0, c.waitNs(open("a", 2, 1), 4 * S));
        assertEquals(1, c.of(1, HealthReportTable.TTL_NS - 1).size());
        assertEquals(0, c.of(1, HealthReportTable.TTL_NS).size());
        assertFalse(c.hear(open("a", 1, 1), HealthReportTable.TTL_NS + 1), "older than one that was held");
        c.sweep(HealthReportTable.KEEP_NS);
        assertEquals(0, c.all().size());
    }

    /** A reporter that speaks of ever new destinations keeps the newest ones alone. */
    @Example
    void oneReporterHasABound() {
        HealthReportTable c = new HealthReportTable(10);
        for (int i = 0; i < 1_000; i++) {
            c.hear(open("a", i, i), 0);
            c.hear(open("b", 1, i % 5), 0);
        }
        assertEquals(15, c.all().size());
        assertEquals(
                List.of("a"), c.of(999, 0).stream().map(HealthReport::reporter).toList());
        assertThrows(
                IllegalArgumentException.class,
                () -> new HealthReport("a", 1, 1, 1, HealthReport.State.OPEN, 0, 3, 4, 1));
    }

    /** One alone does nothing, whatever it says; several do, and never more than doubt. */
    @Example
    void oneReporterAloneIsBelowTheLeastEffect() {
        HealthEstimator advice = new HealthEstimator();
        assertEquals(0, advice.doubt(List.of(open("a", 1, 1)), 0, 0, 0));
        double two = advice.doubt(List.of(open("a", 1, 1), open("b", 1, 1)), 0, 0, 0);
        double five = advice.doubt(
                List.of(open("a", 1, 1), open("b", 1, 1), open("c", 1, 1), open("d", 1, 1), open("e", 1, 1)), 0, 0, 0);
        assertTrue(two > 0 && two < five && five <= 1, two + " " + five);
        assertEquals(
                0,
                advice.doubt(List.of(new HealthReport("a", 1, 1, 1, HealthReport.State.CLOSED, 0, 9, 9, 1)), 0, 0, 0));
    }

    /** A majority that lies for ever loses its worth by own calls, once for each claim, and regains it slowly. */
    @Example
    void liarsLoseTheirWorth() {
        HealthEstimator advice = new HealthEstimator();
        long now = 0;
        for (int i = 0; i < 5; i++, now += S) {
            List<HealthReport> lies = List.of(open("a", i, 1), open("b", i, 1), open("c", i, 1));
            assertEquals(0, advice.doubt(lies, 20, 20, now), "own calls are answered well");
            assertEquals(0, advice.doubt(lies, 20, 20, now), "the same claims again cost nothing more");
        }
        assertTrue(advice.worth("a", now) < 0.05, "" + advice.worth("a", now));
        assertEquals(0, advice.doubt(List.of(open("a", 9, 2), open("b", 9, 2), open("c", 9, 2)), 0, 0, now));
        assertTrue(advice.worth("a", now + 60 * S) < 0.2);
        assertTrue(advice.worth("a", now + 3_600 * S) > 0.9);
        assertEquals(HealthEstimator.START, advice.worth("d", now));
    }

    /** Ten thousand datagrams in a second: a second's worth and what the second adds leave, the rest is counted. */
    @Example
    void theCeilingBinds() {
        SendRateLimiter ceiling = new SendRateLimiter(10_000, 20, 0);
        int left = 0;
        for (int i = 0; i < 10_000; i++) {
            left += ceiling.take(100, i * S / 10_000) ? 1 : 0;
        }
        assertEquals(39, left);
        assertEquals(10_000 - 39, ceiling.refused());
        int large = 0;
        for (int i = 0; i < 1_000; i++) {
            large += ceiling.take(1_400, 10 * S + i * S / 1_000) ? 1 : 0;
        }
        assertEquals(14, large, "by bytes: a second's worth and one second's more");
    }
}
