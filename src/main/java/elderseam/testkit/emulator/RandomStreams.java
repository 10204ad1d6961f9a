package elderseam.testkit.emulator;

import java.util.HashMap;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Random numbers, a stream for each name, so that what draws more from one shifts no other. */
final class RandomStreams {
    private final long seed;
    private final Map<String, UniformRandomProvider> streams = new HashMap<>();

    RandomStreams(long seed) {
        this.seed = seed;
    }

    /** The stream of that name; the same one each time. */
    UniformRandomProvider of(String name) {
        return streams.computeIfAbsent(
                name,
                n -> RandomSource.XO_RO_SHI_RO_128_PP.create(
                        new long[] {mixed(seed), mixed(seed ^ 0x5DEECE66DL * n.hashCode())}));
    }

    /** Which chance an attempt of a message meets hangs on both alone: it is the same whatever else a policy does. */
    static double unit(long seed, String id, int attempt, int what) {
        return (mixed(seed ^ 31L * id.hashCode() + 1_000_003L * attempt + 7_919L * what) >>> 11) * 0x1p-53;
    }

    /** A normal number of such chances (Box and Muller 1958). */
    static double normal(long seed, String id, int attempt, int what) {
        double u = 1 - unit(seed, id, attempt, what);
        double v = unit(seed, id, attempt, what + 1);
        return Math.sqrt(-2 * Math.log(u)) * Math.cos(2 * Math.PI * v);
    }

    static double exponential(UniformRandomProvider r, double mean) {
        return -mean * Math.log(1 - r.nextDouble());
    }

    /** Stafford's variant 13 of the finalizer of MurmurHash3, as in SplitMix64. */
    private static long mixed(long x) {
        long z = x + 0x9E3779B97F4A7C15L;
        z = (z ^ (z >>> 30)) * 0xBF58476D1CE4E5B9L;
        z = (z ^ (z >>> 27)) * 0x94D049BB133111EBL;
        return z ^ (z >>> 31);
    }
}
