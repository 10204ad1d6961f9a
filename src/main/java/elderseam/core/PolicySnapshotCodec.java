package elderseam.core;

import elderseam.policy.SnapshotCursor;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;

/** What the module has learned, as bytes for another process of the same machine; bytes that stop short are an exception. */
final class PolicySnapshotCodec {
    /** A time so far from now is none: a mark for never, or not yet. */
    private static final long FAR_NS = 30L * 24 * 3_600 * 1_000_000_000L;
    /** Both clocks are the machine's on Linux; less than this is the rounding of the wall clock. */
    private static final long SAME_NS = 20 * Clock.MS;

    private PolicySnapshotCodec() {}

    static final class Writer implements SnapshotCursor {
        private final ByteArrayOutputStream bytes = new ByteArrayOutputStream(16 << 10);
        private final DataOutputStream out = new DataOutputStream(bytes);
        private final long now;

        Writer(Clock clock) {
            now = clock.now();
            integer(now);
            integer(clock.wallMs());
        }

        byte[] bytes() {
            return bytes.toByteArray();
        }

        @Override
        public long integer(long value) {
            try {
                out.writeLong(value);
            } catch (IOException e) {
                throw new UncheckedIOException(e); // memory doesn't fail so
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
                throw new UncheckedIOException(e);
            }
            return value;
        }
    }

    private static boolean isTime(long value, long now) {
        return value != 0 && value > now - FAR_NS && value < now + FAR_NS;
    }

    static final class Reader implements SnapshotCursor {
        private final DataInputStream in;
        private final long shift, now;
        private final boolean anew;
        /** How long ago it was written, by the wall clock. */
        final long agoNs;

        /** {@code anew}: the process that wrote it is dead, and its waits have ended with it. */
        Reader(byte[] bytes, Clock clock, boolean anew) {
            this.anew = anew;
            now = clock.now();
            in = new DataInputStream(new ByteArrayInputStream(bytes));
            long theirs = integer(0), wallMs = integer(0);
            agoNs = (clock.wallMs() - wallMs) * Clock.MS;
            long by = now - theirs - (clock.wallMs() - wallMs) * Clock.MS;
            shift = Math.abs(by) < SAME_NS ? 0 : by;
        }

        @Override
        public long integer(long none) {
            try {
                return in.readLong();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        @Override
        public double real(double none) {
            return Double.longBitsToDouble(integer(0));
        }

        @Override
        public long time(long none) {
            boolean moves = flag(false);
            long value = integer(0);
            return moves ? value + shift : value;
        }

        @Override
        public long waitEnd(long wait) {
            return anew ? Math.min(wait, now) : wait;
        }

        @Override
        public String text(String none) {
            try {
                return in.readUTF();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }
}
