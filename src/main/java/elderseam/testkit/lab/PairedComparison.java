package elderseam.testkit.lab;

import java.util.Arrays;
import java.util.Locale;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * The paired difference of a figure over the same seeds on two sides, with a 95% confidence interval by the
 * percentile bootstrap (Efron, "Bootstrap methods: another look at the jackknife", 1979). The resampling has a fixed
 * seed, so that the same values give the same interval.
 *
 * @param pairs how many pairs were compared
 * @param difference mean of B - A
 * @param low lower end of the interval of the difference
 * @param high upper end of the interval
 */
public record PairedComparison(int pairs, double meanA, double meanB, double difference, double low, double high) {
    private static final int RESAMPLES = 10_000;
    private static final long RESAMPLING_SEED = 20_261_201L;

    /** Resamples outside the interval at each end: 2.5%. */
    private static final int TAIL = RESAMPLES / 40;

    private static final int MIN_PAIRS = 5;

    /**
     * Compares two sides, whose values at the same index are a pair.
     *
     * @throws IllegalArgumentException if the sides are empty or differ in length
     */
    public static PairedComparison of(double[] a, double[] b) {
        if (a.length != b.length || a.length == 0) {
            throw new IllegalArgumentException(
                    a.length + " and " + b.length + " runs, allowed: the same seeds on both sides, at least one");
        }
        double[] differences = new double[a.length];
        for (int i = 0; i < differences.length; i++) {
            differences[i] = b[i] - a[i];
        }
        Arrays.sort(differences); // runs stand in a file in the order in which threads ended them: it must not matter
        double[] means = resampledMeans(differences);
        Arrays.sort(means);
        double low = means[TAIL];
        double high = means[RESAMPLES - 1 - TAIL];
        return new PairedComparison(differences.length, mean(a), mean(b), mean(differences), low, high);
    }

    private static double[] resampledMeans(double[] values) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(RESAMPLING_SEED);
        double[] means = new double[RESAMPLES];
        for (int resample = 0; resample < RESAMPLES; resample++) {
            double sum = 0;
            for (int i = 0; i < values.length; i++) {
                sum += values[random.nextInt(values.length)];
            }
            means[resample] = sum / values.length;
        }
        return means;
    }

    private static double mean(double[] values) {
        return Arrays.stream(values).sorted().average().orElse(0);
    }

    /** Whether the difference may be chance: the interval holds 0, or there are too few pairs for an interval. */
    public boolean isNoise() {
        return pairs < MIN_PAIRS || (low <= 0 && high >= 0);
    }

    /** Formats the comparison as the columns of a table: both means, the difference, its interval and the verdict. */
    public String format() {
        return String.format(
                Locale.ROOT,
                "%12.5f %12.5f %+12.5f  [%+.5f, %+.5f]  %s",
                meanA,
                meanB,
                difference,
                low,
                high,
                verdict());
    }

    private String verdict() {
        if (pairs < MIN_PAIRS) {
            return "noise (fewer than " + MIN_PAIRS + " pairs)";
        }
        if (isNoise()) {
            return "noise";
        }
        return difference > 0 ? "more" : "less";
    }
}
