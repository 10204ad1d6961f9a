package elderseam.testkit.emulator;

import java.util.List;

/** All of an experiment but its seed and its policy. Times are seconds from the start unless they say otherwise. */
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
     * {@code slots}: calls out at once, each; {@code held}: messages held at most, each; {@code connections}: what an endpoint takes of
     * all dispatchers, by which subsets are sized, 0 where nobody knows; {@code hot}: how many times the others' traffic the first has.
     */
    public record Fleet(int dispatchers, int slots, int held, int attempts, int connections, double hot) {}

    /** An enumeration whose constants stand in scenario files and reports. */
    public interface WireNamed {
        /** The word in scenario files and reports; it outlives a rename of the constant. */
        String wireName();
    }

    public enum Limit implements WireNamed {
        NONE("none"),
        RATE("rate"),
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
     * Destinations of one kind. {@code perS}: calls a second that each takes of all; {@code told}: it says how long to stay away;
     * {@code refusedCount}: refused calls count against the limit; {@code slots}: calls at once of each endpoint (0: any), and
     * {@code queue} more that wait; {@code report}: answers tell what is left of the limit, so late and off by such a share.
     */
    public record Kind(
            String name,
            int destinations,
            int endpoints,
            double perS,
            Limit limit,
            int windowMs,
            boolean told,
            boolean refusedCount,
            int slots,
            int queue,
            double serviceMs,
            double spread,
            double errors,
            double connectMs,
            int idleMs,
            boolean report,
            double reportNoise,
            double coldShare,
            int coldMs,
            double fallMultiple,
            int fallMs,
            double load) {}

    public enum Fault implements WireNamed {
        FAIL("fail"),
        ERRORS("errors"),
        SHUT("shut"),
        HANG("hang"),
        SLOW("slow"),
        FLAP("flap"),
        SILENT("silent"),
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

    /** {@code part}: share of the kind's destinations that it meets; {@code factor}: how much slower. */
    public record Trouble(String name, String kind, double part, double at, double lasts, Fault fault, double factor) {}

    public enum Arrivals implements WireNamed {
        POISSON("poisson"),
        BURSTY("bursty"),
        CLUMPED("clumped"),
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
     * {@code mix}: of status updates, job orders and rent payments; {@code clump}: messages in one; {@code burst}: how many times the
     * usual rate a burst has, a tenth of the time; {@code retries}: how often a refused message is handed in again.
     */
    public record Clients(
            Arrivals arrivals,
            double scale,
            int tenants,
            double[] mix,
            int clump,
            double burst,
            int retries,
            boolean monthEnd) {}

    public record Flood(String name, int tenant, double factor, double at, double lasts) {}

    public enum How implements WireNamed {
        KILL("kill"),
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

    /** A {@code part} of the dispatchers within so many seconds, one after the other; each is away for that long. */
    public record Restart(String name, double at, double within, double part, How how, double downMs) {}

    /** Endpoints that are listed as draining, and gone 5 s later. */
    public record Drain(String name, String kind, double part, double at) {}

    /** Each way; {@code loss}: share of calls whose connection dies, half of them after the request has gone. */
    public record Network(double delayMs, double jitterMs, double loss) {}

    /** News of the list come so late, and not at all in a time; {@code wrong}: share of endpoints listed that nobody serves. */
    public record Discovery(double lateMs, double downAt, double downFor, double wrong) {}

    /** Calls a second that the destinations' load asks for, before floods. */
    public double rate() {
        return clients.scale
                * kinds.stream()
                        .mapToDouble(k -> k.destinations * k.perS * k.load)
                        .sum();
    }

    public int destinations() {
        return kinds.stream().mapToInt(Kind::destinations).sum();
    }
}
