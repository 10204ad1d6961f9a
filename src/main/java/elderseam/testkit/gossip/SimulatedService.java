package elderseam.testkit.gossip;

import elderseam.gossip.Advice;
import elderseam.gossip.GossipTimings;
import elderseam.gossip.HealthReport;
import elderseam.gossip.OwnBreaker;
import elderseam.testkit.emulator.VirtualTime;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * Dispatchers, their gossip and their partners through 150 s with five outages and two times in which a fifth of the calls fail, of partners that are called often and seldom, and their cold returns. With gossip off the same
 * dispatchers, clients and partners run with the same seeds, without a word between them. The first {@code liars} say of each
 * partner that it is down: the odd ones for ever, the even ones on and off each five seconds.
 *
 * @param service worth delivered of all worth handed in to dispatchers that don't lie
 * @param felled times that a cold partner was pushed over (rule 4); broken: rules broken by any dispatcher
 */
public record SimulatedService(
        int instances,
        double loss,
        int liars,
        boolean gossip,
        long seed,
        double service,
        int messages,
        int calls,
        int failedCalls,
        int callsWhileDown,
        int refusals,
        int failures,
        int felled,
        int broken) {
    private static final long S = 1_000_000_000L;
    private static final double LOAD = 0.6; // of what the partners stand together
    private static final int PARTNERS = 8;
    private static final double UNEVEN = 100; // between those whose clients want a partner most and least
    private static final double BUSY = 8;
    private static final double RARE = 1; // calls a second that a partner stands, for each dispatcher

    public static SimulatedService run(int instances, double loss, int liars, boolean gossip, long seed) {
        if (instances < 3 || instances > 1_000 || liars < 0 || liars >= instances) {
            throw new IllegalArgumentException("dispatchers are 3 to 1000, liars fewer than they");
        }
        VirtualTime time = new VirtualTime();
        SplittableRandom seeds = new SplittableRandom(seed);
        SimulatedFleet fleet =
                new SimulatedFleet(time, instances, GossipTimings.DEFAULTS, loss, loss / 10, seeds.nextLong());
        fleet.untilAgreed(60 * S);
        long from = time.now();
        Map<Long, SimulatedDestination> partners = new TreeMap<>();
        for (long id = 1; id <= PARTNERS; id++) {
            double each = (id % 4 == 1 ? BUSY : RARE) * instances; // calls a second that a partner stands
            partners.put(id, new SimulatedDestination(id, each, outages(id, from), seeds.nextLong()));
        }
        partners.get(6L).sick(from + 75 * S, from + 110 * S);
        partners.get(5L).sick(from + 75 * S, from + 110 * S);
        List<Map<Long, Double>> wanted = wanted(instances, partners, seeds.split());
        List<SimulatedDispatcher> all = new ArrayList<>();
        for (int i = 0; i < instances; i++) {
            String name = String.format("n%04d", i);
            SimulatedDispatcher d =
                    new SimulatedDispatcher(name, time, partners, instances, wanted.get(i), seeds.split());
            all.add(d);
            d.run(from + 120 * S);
            if (gossip) {
                boolean flaps = i % 2 == 1;
                fleet.tie(name, i >= liars ? d : liar(time, partners, flaps));
            }
        }
        fleet.pass(150 * S);
        double worth = 0;
        double possible = 0;
        int messages = 0;
        int calls = 0;
        int failedCalls = 0;
        int refusals = 0;
        int failures = 0;
        int broken = 0;
        for (int i = 0; i < instances; i++) {
            SimulatedDispatcher.Tally t = all.get(i).tally();
            broken += t.broken();
            if (i >= liars) {
                worth += t.worth();
                possible += t.possible();
                messages += t.messages();
                calls += t.calls();
                failedCalls += t.failedCalls();
                refusals += t.refusals();
                failures += t.failures();
            }
        }
        return new SimulatedService(
                instances,
                loss,
                liars,
                gossip,
                seed,
                worth / possible,
                messages,
                calls,
                failedCalls,
                partners.values().stream().mapToInt(p -> p.callsWhileDown).sum(),
                refusals,
                failures,
                partners.values().stream().mapToInt(p -> p.felled).sum(),
                broken);
    }

    /** What each dispatcher's clients want of each partner: from a few hundredths to many times of another's, as tenants differ. */
    private static List<Map<Long, Double>> wanted(
            int instances, Map<Long, SimulatedDestination> partners, SplittableRandom random) {
        List<Map<Long, Double>> all = new ArrayList<>();
        for (int i = 0; i < instances; i++) {
            all.add(new TreeMap<>());
        }
        for (SimulatedDestination p : partners.values()) {
            double[] parts =
                    random.doubles(instances).map(x -> Math.pow(UNEVEN, x)).toArray();
            double sum = 0;
            for (double x : parts) {
                sum += x;
            }
            for (int i = 0; i < instances; i++) {
                all.get(i).put(p.id, LOAD * p.perS * parts[i] / sum);
            }
        }
        return all;
    }

    private static List<SimulatedDestination.Outage> outages(long id, long from) {
        return switch ((int) id) {
            case 1 ->
                List.of(new SimulatedDestination.Outage(
                        from + 30 * S, from + 60 * S, SimulatedDestination.Fault.REFUSES));
            case 2 ->
                List.of(new SimulatedDestination.Outage(
                        from + 40 * S, from + 70 * S, SimulatedDestination.Fault.HANGS));
            case 3 ->
                List.of(
                        new SimulatedDestination.Outage(
                                from + 50 * S, from + 65 * S, SimulatedDestination.Fault.ERRORS),
                        new SimulatedDestination.Outage(
                                from + 90 * S, from + 95 * S, SimulatedDestination.Fault.ERRORS));
            case 4 ->
                List.of(new SimulatedDestination.Outage(
                        from + 35 * S, from + 75 * S, SimulatedDestination.Fault.REFUSES));
            default -> List.of();
        };
    }

    private static SimulatedFleet.Dispatching liar(
            VirtualTime time, Map<Long, SimulatedDestination> partners, boolean flaps) {
        return new SimulatedFleet.Dispatching() {
            @Override
            public List<OwnBreaker> own() {
                HealthReport.State says =
                        flaps && time.now() / (5 * S) % 2 == 1 ? HealthReport.State.CLOSED : HealthReport.State.OPEN;
                return partners.keySet().stream()
                        .map(id -> new OwnBreaker(id, says, 10_000, 100, 100))
                        .toList();
            }

            @Override
            public void advise(long destination, Advice word) {
                // a liar does not listen
            }
        };
    }

    /** One JSON object in one line. */
    public String json() {
        return String.format(
                Locale.ROOT,
                "{\"instances\":%d,\"loss\":%.3f,\"liars\":%d,\"gossip\":%b,\"seed\":%d,\"service\":%.5f,"
                        + "\"messages\":%d,\"calls\":%d,\"failed_calls\":%d,\"calls_while_down\":%d,\"refusals\":%d,\"failures\":%d,\"felled\":%d,"
                        + "\"broken\":%d}",
                instances,
                loss,
                liars,
                gossip,
                seed,
                service,
                messages,
                calls,
                failedCalls,
                callsWhileDown,
                refusals,
                failures,
                felled,
                broken);
    }

    /** The same in words. */
    public String words() {
        return String.format(
                Locale.ROOT,
                "%d dispatchers, %d lying, loss %.0f%%, gossip %s, seed %d%n  service %.4f of %d messages; %d calls, %d failed "
                        + "(%d while partners were down)%n  %d refusals, %d failures; cold partners felled %d times, rules broken %d",
                instances,
                liars,
                loss * 100,
                gossip ? "on" : "off",
                seed,
                service,
                messages,
                calls,
                failedCalls,
                callsWhileDown,
                refusals,
                failures,
                felled,
                broken);
    }
}
