package elderseam.policy;

import java.util.List;

/**
 * Prices, in points of the result for each request.
 *
 * @param connection of a new connection
 * @param crossZone of an attempt in another zone
 * @param zoneFees for each zone, the fee of an attempt at a route there; 0 where absent
 */
public record PriceSettings(double connection, double crossZone, List<Double> zoneFees) {
    /** Copies the fees. */
    public PriceSettings {
        zoneFees = List.copyOf(zoneFees);
    }
}
