package elderseam.gossip;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * The claims that are held: of each reporter and destination the newest. As a state it is a join semilattice, the product of
 * one maximum for each reporter and destination, so that merging is commutative, associative and idempotent. What expires does
 * so by the holder's own clock, counted from when the claim was first heard here; a claim that was held, and a newer number
 * seen, does not come back while {@link #KEEP_NS} last. Bounded by {@code mostOfOne} destinations for each reporter.
 */
public final class HealthReportTable {
    /** A claim counts for so long at most, whatever it says. */
    public static final long TTL_NS = 10_000_000_000L;
    /** Its number is remembered for so long, against those that come late. */
    public static final long KEEP_NS = 120_000_000_000L;

    private record Held(HealthReport claim, long heardAt) {}

    private final int mostOfOne;
    private final Map<String, Map<Long, Held>> byReporter = new HashMap<>();

    public HealthReportTable(int mostOfOne) {
        this.mostOfOne = mostOfOne;
    }

    /** Whether it is news. */
    public boolean hear(HealthReport c, long now) {
        Map<Long, Held> of = byReporter.computeIfAbsent(c.reporter(), r -> new HashMap<>());
        Held h = of.get(c.destination());
        if (h != null && HealthReport.AGE.compare(c, h.claim) <= 0) {
            return false;
        }
        if (h == null && of.size() >= mostOfOne) {
            Long oldest = null;
            for (Map.Entry<Long, Held> e : of.entrySet()) {
                if (oldest == null || HealthReport.AGE.compare(e.getValue().claim, of.get(oldest).claim) < 0) {
                    oldest = e.getKey();
                }
            }
            if (HealthReport.AGE.compare(c, of.get(oldest).claim) <= 0) {
                return false;
            }
            of.remove(oldest);
        }
        of.put(c.destination(), new Held(c, now));
        return true;
    }

    /** What is held of that reporter and destination, or null. */
    private Held held(HealthReport c) {
        return byReporter.getOrDefault(c.reporter(), Map.of()).get(c.destination());
    }

    /** Whether {@link #hear} would take it for news, as far as its own number tells. */
    public boolean isNews(HealthReport c) {
        Held h = held(c);
        return h == null || HealthReport.AGE.compare(c, h.claim) > 0;
    }

    /** Whether that very claim is held and counts now. */
    boolean counts(HealthReport c, long now) {
        return holds(c) && now - held(c).heardAt < TTL_NS;
    }

    /** Whether that very claim is held. */
    boolean holds(HealthReport c) {
        Held h = held(c);
        return h != null && h.claim.equals(c);
    }

    /** Destinations of which anybody but that one says something that counts now. */
    Set<Long> destinations(String but, long now) {
        Set<Long> all = new TreeSet<>();
        byReporter.forEach((reporter, of) -> of.forEach((destination, h) -> {
            if (!reporter.equals(but) && now - h.heardAt < TTL_NS) {
                all.add(destination);
            }
        }));
        return all;
    }

    /** The claims that count now, of one destination. */
    public List<HealthReport> of(long destination, long now) {
        List<HealthReport> found = new ArrayList<>();
        byReporter.values().forEach(of -> {
            Held h = of.get(destination);
            if (h != null && now - h.heardAt < TTL_NS) {
                found.add(h.claim);
            }
        });
        return found;
    }

    /** What is left of a told wait, as its claim said and by this clock; 0 where it is over. */
    public long waitNs(HealthReport c, long now) {
        Held h = held(c);
        return h == null ? 0 : Math.max(0, Math.min(TTL_NS, c.waitMs() * 1_000_000L) - (now - h.heardAt));
    }

    /** Every claim that is held, newest of each. */
    public List<HealthReport> all() {
        List<HealthReport> all = new ArrayList<>();
        byReporter.values().forEach(of -> of.values().forEach(h -> all.add(h.claim)));
        return all;
    }

    /** Forgets what is older than its number need be remembered. */
    public void sweep(long now) {
        for (Iterator<Map<Long, Held>> i = byReporter.values().iterator(); i.hasNext(); ) {
            Map<Long, Held> of = i.next();
            of.values().removeIf(h -> now - h.heardAt >= KEEP_NS);
            if (of.isEmpty()) {
                i.remove();
            }
        }
    }

    /** One that is not on the roster any more. */
    public void remove(String reporter) {
        byReporter.remove(reporter);
    }
}
