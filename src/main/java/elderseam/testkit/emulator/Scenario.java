package elderseam.testkit.emulator;

import java.util.List;

/**
 * Everything that defines an experiment except its seed and its policy. Times are seconds from the start, durations seconds, and shares
 * lie between 0 and 1, unless a name or comment says otherwise. {@link ScenarioFile} reads it from a file.
 *
 * @param seconds how long clients submit requests; the run goes on until the last of them has ended
 */
public record Scenario(
        String name,
        double seconds,
        Fleet fleet,
        List<Kind> kinds,
        List<Trouble> troubles,
        Clients clients,
        List<Flood> floods,
        List<Restart> restarts,
        List<Drain> drains,
        Network network,
        Discovery discovery) {
    /**
     * The dispatchers.
     *
     * @param slots calls that one dispatcher may have in flight
     * @param maxHeld requests that one dispatcher may hold
     * @param maxAttempts attempts for one request
     * @param connections connections that an endpoint accepts from all dispatchers, by which subsets are sized; 0 if unknown
     * @param hotFactor how many times the others' traffic the first dispatcher receives
     */
    public record Fleet(int dispatchers, int slots, int maxHeld, int maxAttempts, int connections, double hotFactor) {}

    /** An enumeration whose constants stand in scenario files and reports. */
    public interface WireNamed {
        /** The word in scenario files and reports; it outlives a rename of the constant. */
        String wireName();
    }

    /** How a destination limits the calls of all dispatchers together. */
    public enum Limit implements WireNamed {
        /** No limit. */
        NONE("none"),
        /** A token bucket. */
        RATE("rate"),
        /** A number of calls in each fixed window of time. */
        WINDOW("window");

        private final String wireName;

        Limit(String wireName) {
            this.wireName = wireName;
        }

        @Override
        public String wireName() {
            return wireName;
        }
    }

    /**
     * Destinations of one kind.
     *
     * @param destinations how many there are
     * @param endpoints of each destination
     * @param callsPerSecond that each destination accepts from all dispatchers
     * @param windowMs length of a window, with {@link Limit#WINDOW}
     * @param sendsRetryAfter whether refusals say how long to stay away
     * @param countsRefusedCalls whether refused calls count against the limit
     * @param slots calls that each endpoint serves at once; 0 for any number
     * @param queueLength calls that wait at each endpoint when its slots are taken
     * @param serviceMs mean service time
     * @param spread sigma of the log-normal distribution of service times
     * @param errorShare share of served calls that fail
     * @param connectMs time to open a connection, besides the network's delays
     * @param idleMs after how long an idle connection is closed
     * @param reportsLimit whether responses report what is left of the limit
     * @param reportNoise relative standard deviation of the reported limit
     * @param coldShare share of its calls that a destination stands right after a trouble
     * @param coldMs how long it then takes to stand all of them
     * @param collapseMultiple while cold, it collapses under more than this multiple of the calls that it stands
     * @param collapseMs how long a collapse lasts
     * @param load share of its calls that clients ask for
     */
    public record Kind(
            String name,
            int destinations,
            int endpoints,
            double callsPerSecond,
            Limit limit,
            int windowMs,
            boolean sendsRetryAfter,
            boolean countsRefusedCalls,
            int slots,
            int queueLength,
            double serviceMs,
            double spread,
            double errorShare,
            double connectMs,
            int idleMs,
            boolean reportsLimit,
            double reportNoise,
            double coldShare,
            int coldMs,
            double collapseMultiple,
            int collapseMs,
            double load) {}

    /** What is wrong with a destination during a trouble. */
    public enum Fault implements WireNamed {
        /** Connections are refused. */
        FAIL("fail"),
        /** Every call is answered with an error. */
        ERRORS("errors"),
        /** Every call is refused, until the end of the trouble. */
        SHUT("shut"),
        /** No call is answered; half of them are executed. */
        HANG("hang"),
        /** Service takes longer. */
        SLOW("slow"),
        /** As {@link #FAIL}, every other second. */
        FLAP("flap"),
        /** Connections are neither accepted nor refused. */
        SILENT("silent"),
        /** Every call is executed, none is answered. */
        HALF_OPEN("half_open");

        private final String wireName;

        Fault(String wireName) {
            this.wireName = wireName;
        }

        @Override
        public String wireName() {
            return wireName;
        }
    }

    /**
     * A fault of some destinations of a kind.
     *
     * @param share of the kind's destinations
     * @param slowdown factor of service times, with {@link Fault#SLOW}
     */
    public record Trouble(
            String name, String kind, double share, double start, double duration, Fault fault, double slowdown) {
        /** When it ends. */
        public double end() {
            return start + duration;
        }
    }

    /** How requests arrive over time. */
    public enum Arrivals implements WireNamed {
        /** Independently, at a constant rate. */
        POISSON("poisson"),
        /** At a higher rate a tenth of the time. */
        BURSTY("bursty"),
        /** Several at a time, for one destination. */
        CLUMPED("clumped"),
        /** At a rate that rises and falls once, as over a day. */
        DIURNAL("diurnal");

        private final String wireName;

        Arrivals(String wireName) {
            this.wireName = wireName;
        }

        @Override
        public String wireName() {
            return wireName;
        }
    }

    /**
     * The clients.
     *
     * @param scale factor of the load of all kinds
     * @param mix relative frequency of each class of {@link Policies#CLASSES}
     * @param clumpSize requests that arrive at once, with {@link Arrivals#CLUMPED}
     * @param burstFactor of the rate in a burst, with {@link Arrivals#BURSTY}
     * @param maxRetries how often a rejected request is submitted again
     * @param monthEnd with {@link Arrivals#DIURNAL}, whether the second half of the day has twice the requests
     */
    public record Clients(
            Arrivals arrivals,
            double scale,
            int tenants,
            double[] mix,
            int clumpSize,
            double burstFactor,
            int maxRetries,
            boolean monthEnd) {}

    /**
     * A time in which one tenant submits more than usual.
     *
     * @param tenant counted from 1
     * @param factor of the tenant's usual rate
     */
    public record Flood(String name, int tenant, double factor, double start, double duration) {
        /** When it ends. */
        public double end() {
            return start + duration;
        }
    }

    /** How a dispatcher's process ends. */
    public enum How implements WireNamed {
        /** At once. */
        KILL("kill"),
        /** After a shutdown in which it ends what it holds. */
        TERM("term");

        private final String wireName;

        How(String wireName) {
            this.wireName = wireName;
        }

        @Override
        public String wireName() {
            return wireName;
        }
    }

    /**
     * Some dispatchers are restarted one after the other.
     *
     * @param within how long after the start the last one is stopped
     * @param share of the dispatchers
     * @param downMs between the end of a process and its successor
     */
    public record Restart(String name, double start, double within, double share, How how, double downMs) {}

    /** One endpoint of some destinations of a kind is listed as draining, and a few seconds later as gone. */
    public record Drain(String name, String kind, double share, double start) {}

    /**
     * The network between dispatchers and endpoints.
     *
     * @param delayMs minimum delay in each direction
     * @param jitterMs maximum of the random delay that is added
     * @param lossShare share of calls whose connection breaks, half of them after the request was received
     */
    public record Network(double delayMs, double jitterMs, double lossShare) {}

    /**
     * The source of the endpoint list.
     *
     * @param delayMs after which dispatchers learn of a change
     * @param downStart start of an outage in which they learn of none
     * @param downDuration length of the outage
     * @param wrongShare share of destinations with one listed endpoint that does not exist
     */
    public record Discovery(double delayMs, double downStart, double downDuration, double wrongShare) {}

    /** Requests a second that clients submit on average, without floods. */
    public double requestRate() {
        return clients.scale
                * kinds.stream()
                        .mapToDouble(kind -> kind.destinations * kind.callsPerSecond * kind.load)
                        .sum();
    }

    /** Number of destinations of all kinds. */
    public int destinationCount() {
        return kinds.stream().mapToInt(Kind::destinations).sum();
    }
}
