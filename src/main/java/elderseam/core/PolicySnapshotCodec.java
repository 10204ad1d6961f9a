package elderseam.core;

import elderseam.policy.SnapshotCursor;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;

/**
 * The policy's learned state as bytes, for another process of the same machine. Begins with the writer's {@link
 * Clock#now} and wall clock, by which the reader moves times to its own clock. Writer and reader are confined to one
 * thread.
 */
final class PolicySnapshotCodec {
    /** A value farther than this from now is no time but a mark for never, or not yet. */
    private static final long MAX_TIME_DISTANCE_NS = 30L * 24 * 3_600 * 1_000 * Clock.MILLISECOND_NS;

    /** On Linux both processes share the monotonic clock; a shift below this is the rounding of the steady clock. */
    private static final long CLOCK_ROUNDING_NS = 20 * Clock.MILLISECOND_NS;

    private static final int INITIAL_BYTES = 16 << 10;

    private PolicySnapshotCodec() {}

    private static boolean isTime(long value, long now) {
        return value != 0 && value > now - MAX_TIME_DISTANCE_NS && value < now + MAX_TIME_DISTANCE_NS;
    }

    /** Records each value that the policy passes through. */
    static final class Writer implements SnapshotCursor {
        private final ByteArrayOutputStream bytes = new ByteArrayOutputStream(INITIAL_BYTES);
        private final DataOutputStream out = new DataOutputStream(bytes);
        private final long now;

        Writer(Clock clock) {
            now = clock.now();
            integer(now);
            integer(clock.steadyMs());
        }

        /** All that was written so far. */
        byte[] bytes() {
            return bytes.toByteArray();
        }

        @Override
        public long integer(long value) {
            try {
                out.writeLong(value);
            } catch (IOException e) {
                throw new UncheckedIOException(e); // cannot happen in memory
            }
            return value;
        }

        @Override
        public double real(double value) {
            integer(Double.doubleToLongBits(value));
            return value;
        }

        @Override
        public long time(long value) {
            flag(isTime(value, now));
            return integer(value);
        }

        @Override
        public String text(String value) {
            try {
                out.writeUTF(value);
            } catch (IOException e) {
                throw new UncheckedIOException(e); // only for a text above 65,535 bytes
            }
            return value;
        }
    }

    /**
     * Gives back what was written, in the same order, in place of the values that the policy passes. Every method
     * throws {@link UncheckedIOException} where the bytes end early.
     */
    static final class Reader implements SnapshotCursor {
        private final DataInputStream in;
        private final long now;
        private final long clockShiftNs;
        private final boolean restarted;

        /** How long ago the snapshot was written, by the steady clock, in nanoseconds. */
        final long ageNs;

        /** {@code restarted}: the process that wrote it is dead, and a Retry-After ended with it. */
        Reader(byte[] bytes, Clock clock, boolean restarted) {
            this.restarted = restarted;
            now = clock.now();
            in = new DataInputStream(new ByteArrayInputStream(bytes));
            long writtenAt = integer(0);
            long writtenAtSteadyMs = integer(0);
            ageNs = (clock.steadyMs() - writtenAtSteadyMs) * Clock.MILLISECOND_NS;
            long shift = now - writtenAt - ageNs;
            clockShiftNs = Math.abs(shift) < CLOCK_ROUNDING_NS ? 0 : shift;
        }

        @Override
        public long integer(long replaced) {
            try {
                return in.readLong();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        @Override
        public double real(double replaced) {
            return Double.longBitsToDouble(integer(0));
        }

        @Override
        public long time(long replaced) {
            boolean isTime = flag(false);
            long value = integer(0);
            return isTime ? value + clockShiftNs : value;
        }

        @Override
        public long waitEnd(long wait) {
            return restarted ? Math.min(wait, now) : wait;
        }

        @Override
        public String text(String replaced) {
            try {
                return in.readUTF();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }
}
