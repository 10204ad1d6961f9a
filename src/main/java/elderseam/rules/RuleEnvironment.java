package elderseam.rules;

/** How the dispatcher stands, for rules that ask; asked on the thread that decides. */
public interface RuleEnvironment {
    /** How a destination's breaker stands. */
    enum Breaker {
        CLOSED,
        HALF_OPEN,
        OPEN
    }

    /** CLOSED too where nothing is known. */
    Breaker breaker(long destination);

    /** The wait that a destination has told, in ns; 0 for none. */
    long waitNs(long destination);

    /** Calls out to it. */
    int inFlight(long destination);

    /** Messages that are held. */
    int held();

    /** Messages a second that a tenant hands in, where that is told; below 0 to have it counted. */
    default double rate(int tenant) {
        return -1;
    }

    /** A tenant's share, in messages a second; 0 for a tenant that is not known. */
    double share(int tenant);
}
