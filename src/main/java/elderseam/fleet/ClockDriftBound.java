package elderseam.fleet;

/**
 * An upper bound on clock drift: no member's monotonic clock runs faster or slower than true time by more than this
 * fraction. It gives the safety margin wherever one member counts a duration on its own clock that ends by the clock of
 * another member.
 *
 * @param fraction the largest relative error of a clock's rate, at least 0 and below 0.5; 0.05 stands for 5 %
 */
public record ClockDriftBound(double fraction) {
    private static final double FRACTION_LIMIT = 0.5;

    /** Throws {@link IllegalArgumentException} if the fraction is out of range. */
    public ClockDriftBound {
        if (!(fraction >= 0 && fraction < FRACTION_LIMIT)) {
            throw new IllegalArgumentException("drift from 0 to 0.5 allowed, not " + fraction);
        }
    }

    /**
     * Returns how long, on a slow local clock, a duration surely lasts that a fast remote clock measures:
     * {@code duration * (1 - fraction) / (1 + fraction)}, in the unit of {@code duration}.
     */
    public double shorten(long duration) {
        return duration * (1 - fraction) / (1 + fraction);
    }
}
