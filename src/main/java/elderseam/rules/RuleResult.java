package elderseam.rules;

import java.util.ArrayList;
import java.util.List;

/** What the tables made of a message: what is not set stays as it was. Used again for each message. */
final class RuleResult {
    /** A limit that the message falls under, with its key. */
    record Charge(KeyedRateLimiter limit, String key) {}

    static final int USUAL_PRIORITY = 5;

    int cls, tenant, priority;
    long destination, deadlineNs, refuseNs;
    String key, by; // by: the rule that refused or erred
    final List<Charge> charges = new ArrayList<>(2);
    final List<String> trace; // what matched and why not, where that is asked for; else null

    RuleResult(boolean traced) {
        trace = traced ? new ArrayList<>() : null;
    }

    void begin(int cls, int tenant, long destination) {
        this.cls = cls;
        this.tenant = tenant;
        this.destination = destination;
        deadlineNs = Long.MAX_VALUE;
        refuseNs = -1;
        priority = USUAL_PRIORITY;
        key = "";
        by = "";
        charges.clear();
    }
}
