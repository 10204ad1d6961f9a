package elderseam.testkit.lab;

import java.util.Arrays;
import java.util.Locale;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * The paired differences of a figure over the same seeds, with a confidence interval of 95% by the bootstrap's percentiles (Efron
 * 1979; 10,000 resamples, whose seed is fixed). An interval that holds 0 is noise, and so is one of fewer than five pairs.
 */
public record PairedComparison(int pairs, double meanA, double meanB, double difference, double low, double high) {
    private static final int RESAMPLES = 10_000;
    private static final int LEAST = 5;

    public static PairedComparison of(double[] a, double[] b) {
        if (a.length != b.length || a.length == 0) {
            throw new IllegalArgumentException(
                    a.length + " and " + b.length + " runs, allowed: the same seeds on both sides, at least one");
        }
        double[] d = new double[a.length];
        for (int i = 0; i < d.length; i++) {
            d[i] = b[i] - a[i];
        }
        UniformRandomProvider r = RandomSource.XO_RO_SHI_RO_128_PP.create(20_261_201L);
        double[] means = new double[RESAMPLES];
        for (int n = 0; n < RESAMPLES; n++) {
            double sum = 0;
            for (int i = 0; i < d.length; i++) {
                sum += d[r.nextInt(d.length)];
            }
            means[n] = sum / d.length;
        }
        Arrays.sort(means);
        return new PairedComparison(
                d.length, mean(a), mean(b), mean(d), means[RESAMPLES / 40], means[RESAMPLES - 1 - RESAMPLES / 40]);
    }

    private static double mean(double[] x) {
        return Arrays.stream(x).average().orElse(0);
    }

    public boolean noise() {
        return pairs < LEAST || (low <= 0 && high >= 0);
    }

    public String words() {
        return String.format(
                Locale.ROOT,
                "%12.5f %12.5f %+12.5f  [%+.5f, %+.5f]  %s",
                meanA,
                meanB,
                difference,
                low,
                high,
                pairs < LEAST
                        ? "noise (fewer than " + LEAST + " pairs)"
                        : noise() ? "noise" : difference > 0 ? "more" : "less");
    }
}
