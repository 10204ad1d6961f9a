package elderseam.testkit.emulator;

import java.util.HashMap;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Random numbers in independent streams by name, so that drawing more from one does not shift the others; and random numbers that are a
 * function of a request and an attempt alone, so that two policies meet the same chances.
 */
final class RandomStreams {
    /** Odd increment of SplitMix64, from the golden ratio. */
    private static final long GOLDEN_GAMMA = 0x9E3779B97F4A7C15L;

    private static final long NAME_FACTOR = 0x5DEECE66DL;
    private static final long ID_FACTOR = 31;
    private static final long ATTEMPT_FACTOR = 1_000_003;
    private static final long PURPOSE_FACTOR = 7_919;

    /** Bits of a long beyond the 53 of a double's fraction. */
    private static final int EXCESS_BITS = 11;

    private static final double UNIT = 0x1p-53;

    private final long seed;
    private final Map<String, UniformRandomProvider> streams = new HashMap<>();

    RandomStreams(long seed) {
        this.seed = seed;
    }

    /** The stream of a name; the same one each time. */
    UniformRandomProvider of(String name) {
        return streams.computeIfAbsent(name, this::create);
    }

    private UniformRandomProvider create(String name) {
        long[] state = {mix(seed), mix(seed ^ NAME_FACTOR * name.hashCode())};
        return RandomSource.XO_RO_SHI_RO_128_PP.create(state);
    }

    /**
     * A number from 0 (inclusive) to 1 (exclusive) that depends on the arguments alone.
     *
     * @param purpose tells apart the chances of one attempt
     */
    static double unit(long seed, String requestId, int attempt, int purpose) {
        long key = ID_FACTOR * requestId.hashCode() + ATTEMPT_FACTOR * attempt + PURPOSE_FACTOR * purpose;
        return (mix(seed ^ key) >>> EXCESS_BITS) * UNIT;
    }

    /**
     * A standard normal number that depends on the arguments alone, by the Box-Muller transform (1958). It uses up two purposes: the
     * given one and the next.
     */
    static double normal(long seed, String requestId, int attempt, int purpose) {
        double radius = 1 - unit(seed, requestId, attempt, purpose);
        double angle = unit(seed, requestId, attempt, purpose + 1);
        return Math.sqrt(-2 * Math.log(radius)) * Math.cos(2 * Math.PI * angle);
    }

    /** Draws an exponentially distributed number. */
    static double exponential(UniformRandomProvider random, double mean) {
        return -mean * Math.log(1 - random.nextDouble());
    }

    /** One step of SplitMix64: Stafford's variant 13 of the finalizer of MurmurHash3. */
    private static long mix(long value) {
        long mixed = value + GOLDEN_GAMMA;
        mixed = (mixed ^ (mixed >>> 30)) * 0xBF58476D1CE4E5B9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
        return mixed ^ (mixed >>> 31);
    }
}
