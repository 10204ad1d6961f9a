package elderseam.core;

import elderseam.policy.SnapshotCursor;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;

/**
 * Encodes the policy's learned state for another process on the same machine. The data starts with the writer's {@link
 * Clock#now} and steady clock, which the reader uses to convert times to its own clock. Writer and reader are confined
 * to one thread.
 */
final class PolicySnapshotCodec {
    /** A value farther from now than this is not a time but a marker such as never or not yet. */
    private static final long MAX_TIME_DISTANCE_NS = 30L * 24 * 3_600 * 1_000 * Clock.MILLISECOND_NS;

    /**
     * On Linux both processes share the monotonic clock, so a smaller shift is only the rounding of the steady clock.
     */
    private static final long CLOCK_ROUNDING_NS = 20 * Clock.MILLISECOND_NS;

    private static final int INITIAL_BYTES = 16 << 10;

    private PolicySnapshotCodec() {}

    private static boolean isTime(long value, long now) {
        return value != 0 && value > now - MAX_TIME_DISTANCE_NS && value < now + MAX_TIME_DISTANCE_NS;
    }

    /** Writes each value that the policy passes. */
    static final class Writer implements SnapshotCursor {
        private final ByteArrayOutputStream bytes = new ByteArrayOutputStream(INITIAL_BYTES);
        private final DataOutputStream out = new DataOutputStream(bytes);
        private final long now;

        Writer(Clock clock) {
            now = clock.now();
            integer(now);
            integer(clock.steadyMs());
        }

        /** The bytes written so far. */
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
                throw new UncheckedIOException(e); // only if the text exceeds 65,535 bytes
            }
            return value;
        }
    }

    /**
     * Returns the written values in their order, in place of the values that the policy passes. Every method throws
     * {@link UncheckedIOException} if the data ends early.
     */
    static final class Reader implements SnapshotCursor {
        private final DataInputStream in;
        private final long now;
        private final long clockShiftNs;
        private final boolean restarted;

        /** Age of the snapshot by the steady clock, in nanoseconds. */
        final long ageNs;

        /**
         * Reads the header of a snapshot.
         *
         * @param restarted whether the writing process has ended, so that its Retry-After waits count as over
         */
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
