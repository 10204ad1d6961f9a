package elderseam.http;

import elderseam.core.Clock;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.xnio.ChannelListener;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;

/**
 * The downstream connections of one server: each may stay as it is until a time of its own, and they stay under a bound.
 * A connection that finds the bound reached takes the place of one that has sent no whole request, or asks nothing.
 */
final class Downstreams {
    private static final long WHOLE_NS = 2_400 * Clock.MS;          // for a request to be there, from connecting
    private static final long LARGE_NS = 3_000 * Clock.MS;          // and so much more for a long body
    private static final int LARGE = 64 << 10;
    private static final long TAKEN_NS = 2_400 * Clock.MS;          // for an answer to be taken
    private static final long KEPT_NS = 60_000 * Clock.MS;          // without a request
    private static final long KEPT_SHORT_NS = 2_100 * Clock.MS;     // the same, once half the bound is reached
    private static final long SILENT_NS = 1_000 * Clock.MS;         // idle ones go first while a new one is younger
    private static final long LOOK_NS = 100 * Clock.MS;

    private enum State { READING, ASKED, ANSWERED, IDLE }

    /** One connection: what it does, since when, and until when it may. */
    final class Downstream {
        private final StreamConnection channel;
        private final HeadCheck heads;
        private State state = State.READING;
        private long since, until;
        private boolean first = true;
        private int reserved;

        private Downstream(StreamConnection channel) {
            this.channel = channel;
            heads = new HeadCheck(channel.getSourceChannel().getConduit());
            channel.getSourceChannel().setConduit(heads);
            since = io.clock.now();
            until = since + WHOLE_NS;
        }

        /** The head of a request is there; false where there is no room for its body now. */
        boolean reads(long bytes) {
            long from = first ? since : io.clock.now();
            first = false;
            to(State.READING, from + WHOLE_NS + (bytes > LARGE ? LARGE_NS : 0));
            unanswered++;
            if (reading + bytes > mostReading) {
                return false;
            }
            reading += (int) bytes;
            reserved = (int) bytes;
            return true;
        }

        /** Whether the head that came was one. */
        boolean readable() {
            return !heads.bad();
        }

        /** The request is whole; whoever answers it has a deadline of his own. */
        void asked() {
            free();
            to(State.ASKED, Long.MAX_VALUE);
        }

        /** The answer is on its way. */
        void answered() {
            to(State.ANSWERED, io.clock.now() + TAKEN_NS);
        }

        /** The answer is written. */
        void idle() {
            settle();
            heads.next();
            to(State.IDLE, io.clock.now() + KEPT_NS);
        }

        private void to(State next, long by) {
            state = next;
            since = io.clock.now();
            until = by;
        }

        private void free() {
            reading -= reserved;
            reserved = 0;
        }

        private void settle() {
            free();
            if (!first && state != State.IDLE) {
                unanswered--;
            }
            state = State.IDLE;
        }

        /** How readily it is given up for a new one; 4: not at all. */
        private int rank(long now) {
            boolean silent = state == State.READING, idle = state == State.IDLE;
            return silent && now - since > SILENT_NS ? 0 : idle && now - since > KEPT_SHORT_NS ? 1 : idle ? 2 : silent ? 3 : 4;
        }
    }

    private final Io io;
    private final int most, mostReading;
    private final Map<StreamConnection, Downstream> open = new LinkedHashMap<>();   // oldest first
    private int unanswered, reading;
    private boolean looking;

    /** {@code mostReading}: bytes of bodies that are being read, over all. */
    Downstreams(Io io, int most, int mostReading) {
        this.io = io;
        this.most = most;
        this.mostReading = mostReading;
    }

    /** Hands each new connection on, once there is room for it. */
    ChannelListener<StreamConnection> guarding(ChannelListener<? super StreamConnection> next) {
        return channel -> {
            if (open.size() >= most && !makeRoom()) {
                IoUtils.safeClose(channel);
                return;
            }
            open.put(channel, new Downstream(channel));
            ChannelListeners.invokeChannelListener(channel, next);
            ChannelListener<? super StreamConnection> theirs = channel.getCloseListener();
            channel.setCloseListener(c -> {
                ended(c);
                ChannelListeners.invokeChannelListener(c, theirs);
            });
            if (!channel.isOpen()) {
                ended(channel);
            }
            look();
        };
    }

    Downstream of(StreamConnection channel) {
        return open.get(channel);
    }

    /** Requests whose head was read and whose answer is not written. */
    int unanswered() {
        return unanswered;
    }

    int open() {
        return open.size();
    }

    /** A request that lies unread in its socket must not be closed upon, so a pass over the sockets is made before. */
    void closeIdle() {
        io.afterReading(() -> {
            long now = io.clock.now();
            open.values().stream().filter(d -> d.state == State.IDLE || d.state == State.READING && d.first
                    && !d.heads.begun() && now - d.since > SILENT_NS).toList().forEach(this::close);
        });
    }

    private boolean makeRoom() {
        long now = io.clock.now();
        Downstream given = open.values().stream().min(Comparator.comparingInt(d -> d.rank(now))).orElseThrow();
        if (given.rank(now) > 3) {
            return false;
        }
        close(given);
        return true;
    }

    private void close(Downstream d) {
        IoUtils.safeClose(d.channel);
        ended(d.channel);   // in case no listener told
    }

    private void ended(StreamConnection channel) {
        Downstream d = open.remove(channel);
        if (d != null) {
            d.settle();
        }
    }

    private void look() {
        if (!looking && !open.isEmpty()) {
            looking = true;
            io.at(io.clock.now() + LOOK_NS, () -> {
                looking = false;
                long now = io.clock.now();
                boolean crowded = open.size() > most / 2;
                List<Downstream> due = new ArrayList<>();
                for (Downstream d : open.values()) {
                    if (now >= d.until || crowded && d.state == State.IDLE && now - d.since > KEPT_SHORT_NS) {
                        due.add(d);
                    }
                }
                due.forEach(this::close);
                look();
            });
        }
    }
}
