package elderseam.fleet;

/**
 * An upper bound on clock drift: no member's monotonic clock runs faster or slower than true time by more than this
 * fraction. It determines the safety margin wherever one member measures a duration on its own clock that ends
 * according to the clock of another member.
 *
 * @param fraction the largest relative error of a clock's rate, at least 0 and below 0.5; 0.05 means 5 %
 */
public record ClockDriftBound(double fraction) {
    private static final double FRACTION_LIMIT = 0.5;

    /** Throws {@link IllegalArgumentException} if the fraction is out of range. */
    public ClockDriftBound {
        if (!(fraction >= 0 && fraction < FRACTION_LIMIT)) {
            throw new IllegalArgumentException("clock drift must be at least 0 and below 0.5, was " + fraction);
        }
    }

    /**
     * Returns the part of {@code duration} of a slow local clock that is certain to have passed before a
     * fast remote clock measures the whole duration: {@code duration * (1 - fraction) / (1 + fraction)}, in the unit of
     * {@code duration}.
     */
    public double shorten(long duration) {
        return duration * (1 - fraction) / (1 + fraction);
    }
}
