package elderseam.testkit.gossip;

import elderseam.gossip.Advice;
import elderseam.gossip.OwnBreaker;
import java.util.List;

/** The dispatcher's side of a simulated member: it tells of its circuit breakers and is advised of those of other members. */
interface BreakerExchange {
    /** The dispatcher's circuit breakers as they are now. */
    List<OwnBreaker> ownBreakers();

    /** Takes what the other members' health reports say of a destination. */
    void advise(long destination, Advice advice);
}
