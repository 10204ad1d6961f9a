package elderseam.testkit.gossip;

import elderseam.gossip.Advice;
import elderseam.gossip.GossipTimings;
import elderseam.gossip.HealthReport;
import elderseam.gossip.OwnBreaker;
import elderseam.testkit.emulator.VirtualTime;
import elderseam.testkit.gossip.SimulatedDestination.Fault;
import elderseam.testkit.gossip.SimulatedDestination.Outage;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.ToIntFunction;

/**
 * The result of one trial of dispatchers, their gossip and the destinations that they share. In 150 s some destinations have an
 * outage and two have a time in which a fifth of their calls fail; each comes back cold. With gossip off the same dispatchers,
 * clients and destinations run with the same seeds, but exchange no health reports. The first {@code liars} dispatchers report
 * every destination as down: those with even numbers always, those with odd numbers on and off, five seconds each.
 *
 * @param gossip whether the dispatchers exchange health reports
 * @param honest what the messages of the dispatchers that don't lie came to
 * @param callsWhileDown calls of all dispatchers to destinations in an outage
 * @param overloadFailures how often a cold destination failed because it was overloaded
 * @param ruleViolations how often any dispatcher broke a rule of dispatching
 */
public record SimulatedService(
        int instances,
        double loss,
        int liars,
        boolean gossip,
        long seed,
        DispatchTotals honest,
        int callsWhileDown,
        int overloadFailures,
        int ruleViolations) {
    private static final long SECOND = 1_000_000_000L;
    private static final long JOIN_LIMIT_NS = 60 * SECOND;
    private static final long CLIENTS_NS = 120 * SECOND;
    private static final long TRIAL_NS = 150 * SECOND;
    private static final long LIE_PERIOD_NS = 5 * SECOND;
    private static final int DESTINATIONS = 8;

    /** The rate of all messages, as a share of the destinations' capacity. */
    private static final double LOAD = 0.6;

    /** How many times more messages the clients of one dispatcher may have for a destination than those of another. */
    private static final double UNEVENNESS = 100;

    /** Calls a second that a frequently called destination stands from each dispatcher. */
    private static final double FREQUENT_CAPACITY = 8;

    /** The same for the others. */
    private static final double RARE_CAPACITY = 1;

    /** What dispatchers that lie claim of a destination besides that it is down. */
    public enum Evidence {
        /** Many calls, all of which failed. */
        FAILED_CALLS(100),
        /** No calls: the same reports at the same times, but without any weight for whoever receives them. */
        NONE(0);

        private final int failedCalls;

        Evidence(int failedCalls) {
            this.failedCalls = failedCalls;
        }
    }

    /**
     * Runs a trial whose liars claim that their calls failed.
     *
     * @param loss the share of gossip datagrams that are lost; a tenth of it comes twice
     * @throws IllegalArgumentException if a number of dispatchers is out of its bounds
     */
    public static SimulatedService run(int instances, double loss, int liars, boolean gossip, long seed) {
        return run(instances, loss, liars, Evidence.FAILED_CALLS, gossip, seed);
    }

    /** Runs a trial with that evidence in what liars report; see {@link #run(int, double, int, boolean, long)}. */
    public static SimulatedService run(
            int instances, double loss, int liars, Evidence evidence, boolean gossip, long seed) {
        checkBounds(instances, liars);
        VirtualTime time = new VirtualTime();
        SplittableRandom seeds = new SplittableRandom(seed);
        SimulatedFleet fleet =
                new SimulatedFleet(time, instances, GossipTimings.DEFAULTS, loss, loss / 10, seeds.nextLong());
        fleet.untilConverged(JOIN_LIMIT_NS);
        long start = time.now();
        Map<Long, SimulatedDestination> destinations = destinations(instances, start, seeds);
        List<Map<Long, Double>> rates = messageRates(instances, destinations, seeds.split());
        List<SimulatedDispatcher> dispatchers = new ArrayList<>();
        for (int i = 0; i < instances; i++) {
            String name = SimulatedFleet.memberName(i);
            SimulatedDispatcher dispatcher =
                    new SimulatedDispatcher(name, time, destinations, instances, rates.get(i), seeds.split());
            dispatchers.add(dispatcher);
            dispatcher.run(start + CLIENTS_NS);
            if (gossip) {
                boolean lies = i < liars;
                boolean alternates = i % 2 == 1;
                fleet.attach(name, lies ? new Liar(time, destinations.keySet(), alternates, evidence) : dispatcher);
            }
        }
        fleet.advance(TRIAL_NS);
        Collection<SimulatedDestination> called = destinations.values();
        return new SimulatedService(
                instances,
                loss,
                liars,
                gossip,
                seed,
                totals(dispatchers.subList(liars, instances)),
                sum(called, SimulatedDestination::callsWhileDown),
                sum(called, SimulatedDestination::overloadFailures),
                sum(dispatchers, SimulatedDispatcher::ruleViolations));
    }

    private static void checkBounds(int instances, int liars) {
        if (instances < SimulationRun.MIN_INSTANCES
                || instances > SimulationRun.MAX_INSTANCES
                || liars < 0
                || liars >= instances) {
            throw new IllegalArgumentException("dispatchers are 3 to 1000, liars fewer than they");
        }
    }

    private static <T> int sum(Collection<T> items, ToIntFunction<T> count) {
        return items.stream().mapToInt(count).sum();
    }

    private static DispatchTotals totals(List<SimulatedDispatcher> dispatchers) {
        DispatchTotals sum = DispatchTotals.NONE;
        for (SimulatedDispatcher dispatcher : dispatchers) {
            sum = sum.plus(dispatcher.totals());
        }
        return sum;
    }

    private static Map<Long, SimulatedDestination> destinations(int instances, long start, SplittableRandom seeds) {
        Map<Long, SimulatedDestination> destinations = new TreeMap<>();
        for (long id = 1; id <= DESTINATIONS; id++) {
            double callsPerSecond = (id % 4 == 1 ? FREQUENT_CAPACITY : RARE_CAPACITY) * instances;
            destinations.put(id, new SimulatedDestination(id, callsPerSecond, outages(id, start), seeds.nextLong()));
        }
        destinations.get(5L).degrade(start + 75 * SECOND, start + 110 * SECOND);
        destinations.get(6L).degrade(start + 75 * SECOND, start + 110 * SECOND);
        return destinations;
    }

    private static List<Outage> outages(long destination, long start) {
        return switch ((int) destination) {
            case 1 -> List.of(outage(start, 30, 60, Fault.REFUSES));
            case 2 -> List.of(outage(start, 40, 70, Fault.HANGS));
            case 3 -> List.of(outage(start, 50, 65, Fault.ERRORS), outage(start, 90, 95, Fault.ERRORS));
            case 4 -> List.of(outage(start, 35, 75, Fault.REFUSES));
            default -> List.of();
        };
    }

    private static Outage outage(long start, int fromSecond, int toSecond, Fault fault) {
        return new Outage(start + fromSecond * SECOND, start + toSecond * SECOND, fault);
    }

    /**
     * How many messages a second the clients of each dispatcher have for each destination: very different numbers, as those of
     * different tenants are.
     */
    private static List<Map<Long, Double>> messageRates(
            int instances, Map<Long, SimulatedDestination> destinations, SplittableRandom random) {
        List<Map<Long, Double>> rates = new ArrayList<>();
        for (int i = 0; i < instances; i++) {
            rates.add(new TreeMap<>());
        }
        for (SimulatedDestination destination : destinations.values()) {
            double[] weights = random.doubles(instances)
                    .map(exponent -> Math.pow(UNEVENNESS, exponent))
                    .toArray();
            double sum = 0;
            for (double weight : weights) {
                sum += weight;
            }
            for (int i = 0; i < instances; i++) {
                rates.get(i).put(destination.id, LOAD * destination.callsPerSecond * weights[i] / sum);
            }
        }
        return rates;
    }

    /** The gossip of a dispatcher that reports every destination as down, always or in every other period. */
    private record Liar(VirtualTime time, Iterable<Long> destinations, boolean alternates, Evidence evidence)
            implements BreakerExchange {
        private static final int RETRY_AFTER_MS = 10_000;

        @Override
        public List<OwnBreaker> ownBreakers() {
            boolean pauses = alternates && time.now() / LIE_PERIOD_NS % 2 == 1;
            HealthReport.State state = pauses ? HealthReport.State.CLOSED : HealthReport.State.OPEN;
            List<OwnBreaker> breakers = new ArrayList<>();
            for (long destination : destinations) {
                breakers.add(
                        new OwnBreaker(destination, state, RETRY_AFTER_MS, evidence.failedCalls, evidence.failedCalls));
            }
            return breakers;
        }

        @Override
        public void advise(long destination, Advice advice) {
            // a liar does not listen
        }
    }

    /** The share of the value of the honest dispatchers' messages that was delivered, 0 to 1. */
    public double service() {
        return honest.service();
    }

    /** Failed and cancelled calls of the honest dispatchers. */
    public int failedCalls() {
        return honest.failedCalls();
    }

    /** Messages that the honest dispatchers refused. */
    public int refusals() {
        return honest.refusals();
    }

    /** The result as one JSON object in one line. */
    public String json() {
        return String.format(
                Locale.ROOT,
                "{\"instances\":%d,\"loss\":%.3f,\"liars\":%d,\"gossip\":%b,\"seed\":%d,%s,\"felled\":%d,\"broken\":%d}",
                instances,
                loss,
                liars,
                gossip,
                seed,
                honest.jsonMembers(callsWhileDown),
                overloadFailures,
                ruleViolations);
    }

    /** The result as text for people, in several lines. */
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
                service(),
                honest.messages(),
                honest.calls(),
                honest.failedCalls(),
                callsWhileDown,
                honest.refusals(),
                honest.failures(),
                overloadFailures,
                ruleViolations);
    }
}
