package elderseam.gossip;

/**
 * The combined evidence about a destination from the other members' current health reports.
 *
 * @param suspicion how much more weight the circuit breaker gives to failures of this member's own calls, 0 to 1
 * @param trialCallers expected number of members about to make a trial call, this one included; 0 if there are no
 *     reports
 */
public record Advice(double suspicion, double trialCallers) {
    static final Advice NONE = new Advice(0, 0);
}
