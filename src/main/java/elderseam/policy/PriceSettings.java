package elderseam.policy;

import java.util.List;

/**
 * Costs of attempts, in points of the score that is given for each request.
 *
 * @param connection cost of a new connection
 * @param crossZone cost of an attempt in another zone
 * @param zoneFees for each zone, the fee of an attempt there, for destinations with a circuit breaker per
 *     endpoint; 0 if absent
 */
public record PriceSettings(double connection, double crossZone, List<Double> zoneFees) {
    /** Copies the fees. */
    public PriceSettings {
        zoneFees = List.copyOf(zoneFees);
    }
}
