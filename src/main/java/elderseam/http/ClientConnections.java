package elderseam.http;

import elderseam.core.Clock;
import io.undertow.util.ConnectionUtils;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.xnio.ChannelListener;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.conduits.AbstractStreamSinkConduit;
import org.xnio.conduits.StreamSinkConduit;

/**
 * The downstream connections of one server: each may stay as it is until a time of its own, and they stay under a bound.
 * A connection that finds the bound reached takes the place of one that has sent no whole request, or asks nothing; where
 * there is none such, it is told to come again.
 *
 * <p>A connection ends by a lingering close: what is written is flushed, the sending ends, and what still comes is read and
 * dropped until the client ends too, within bounds of time and bytes. A close over unread bytes would reset it, and with it
 * an answer that is on its way. Nothing that is read after the sending ended is ever handed on: it could not be answered,
 * and the client, which finds the end and no answer, asks anew.
 */
final class ClientConnections {
    private static final long WHOLE_NS = 2_400 * Clock.MS; // for a request to be there, from connecting
    private static final long LARGE_NS = 3_000 * Clock.MS; // and so much more for a long body
    private static final int LARGE = 64 << 10;
    private static final long TAKEN_NS = 2_400 * Clock.MS; // for an answer to be taken
    private static final long KEPT_NS = 60_000 * Clock.MS; // without a request
    private static final long KEPT_SHORT_NS = 2_100 * Clock.MS; // the same, once half the bound is reached
    private static final long SILENT_NS = 1_000 * Clock.MS; // idle ones go first while a new one is younger
    private static final long LOOK_NS = 100 * Clock.MS;
    private static final long ENDING_NS = 1_000 * Clock.MS; // for the client to end its side, too
    private static final int ENDING_BEYOND = 4; // that end may stand beside so many as there may be

    private enum State {
        READING,
        ASKED,
        ANSWERED,
        IDLE,
        ENDING
    }

    /** One connection: what it does, since when, and until when it may. */
    final class Downstream {
        private final StreamConnection channel;
        private final RequestHeadValidator heads;
        private State state = State.READING;
        private long since, until;
        private boolean first = true;
        private int reserved;

        private Downstream(StreamConnection channel) {
            this.channel = channel;
            heads = new RequestHeadValidator(channel.getSourceChannel().getConduit());
            channel.getSourceChannel().setConduit(heads);
            channel.getSinkChannel()
                    .setConduit(new Answers(channel.getSinkChannel().getConduit()));
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

        /** The answer was the last on this connection, whose sending ends now. */
        void ending() {
            if (state != State.ENDING) {
                settle();
                heads.drop();
                ending++;
                to(State.ENDING, io.clock.now() + ENDING_NS);
            }
        }

        /** Whether nothing of a request has come since the last answer, or since it connected. */
        private boolean rests() {
            return (state == State.IDLE || (state == State.READING && first)) && !heads.begun();
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
            if (!first && state != State.IDLE && state != State.ENDING) {
                unanswered--;
            }
            ending -= state == State.ENDING ? 1 : 0;
            state = State.IDLE;
        }

        /**
         * What is written. With nothing asked that can only be Undertow's own answer to a head that is none, behind which it closes at
         * once, over what is unread: it is answered here instead, and Undertow is left waiting until the lingering close is over.
         */
        private final class Answers extends AbstractStreamSinkConduit<StreamSinkConduit> {
            private boolean ours;

            Answers(StreamSinkConduit next) {
                super(next);
            }

            @Override
            public int write(ByteBuffer bytes) throws IOException {
                if (!ours && (state == State.IDLE || (state == State.READING && first))) {
                    ours = true;
                    refuse(Downstream.this, 400);
                    return 0;
                }
                return super.write(bytes);
            }

            @Override
            public void resumeWrites() {
                if (!ours) {
                    super.resumeWrites();
                }
            }
        }

        /** How readily it is given up for a new one; 4: not at all. */
        private int rank(long now) {
            if (state == State.IDLE) { // with a head begun its request is under way: Undertow bounds the time for it
                return heads.begun() ? 3 : now - since > KEPT_SHORT_NS ? 1 : 2;
            }
            return state == State.READING ? now - since > SILENT_NS ? 0 : 3 : 4;
        }
    }

    private final IoLoop io;
    private final int most, mostReading;
    final Map<StreamConnection, Downstream> open = new LinkedHashMap<>(); // oldest first
    private int unanswered, reading, ending;
    private boolean looking;

    /** {@code mostReading}: bytes of bodies that are being read, over all. */
    ClientConnections(IoLoop io, int most, int mostReading) {
        this.io = io;
        this.most = most;
        this.mostReading = mostReading;
    }

    /** Hands each new connection on, once there is room for it. */
    ChannelListener<StreamConnection> guarding(ChannelListener<? super StreamConnection> next) {
        return channel -> {
            boolean room = open.size() - ending < most || makeRoom();
            while (open.size() >= most + ENDING_BEYOND && ending > 0) {
                open.values().stream()
                        .filter(d -> d.state == State.ENDING)
                        .findFirst()
                        .ifPresent(this::close);
            }
            Downstream fresh = new Downstream(channel);
            open.put(channel, fresh);
            if (room) {
                ChannelListeners.invokeChannelListener(channel, next);
            } else {
                refuse(fresh, 503);
            }
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

    /** Ends those that carry nothing. A request that lies unread in its socket is read first, and answered. */
    void closeIdle() {
        io.afterReading(() -> {
            long now = io.clock.now();
            List<Downstream> resting = open.values().stream()
                    .filter(d -> d.rests() && (!d.first || now - d.since > SILENT_NS))
                    .toList();
            resting.forEach(this::end);
        });
    }

    /** The process ends: those that have sent nothing yet are told to come again, and all that carry nothing end. */
    void endAll() {
        io.afterReading(() -> {
            for (Downstream d : List.copyOf(open.values())) {
                if (d.rests() && d.first) {
                    refuse(d, 503);
                } else if (d.rests()) {
                    end(d);
                }
            }
        });
    }

    private boolean makeRoom() {
        long now = io.clock.now();
        Downstream given = open.values().stream()
                .min(Comparator.comparingInt(d -> d.rank(now)))
                .orElseThrow();
        if (given.rank(now) > 3) {
            return false;
        }
        if (given.first || given.heads.begun()) { // its request may be under way
            refuse(given, 503);
        } else {
            end(given);
        }
        return true;
    }

    /** The last answer on that connection, whatever has come on it, be it nothing: a new one must not end without an answer. */
    void refuse(Downstream d, int code) {
        String again = code == 503 ? "Retry-After: 1\r\n" : "";
        byte[] answer = ("HTTP/1.1 " + code + " " + StatusCodes.getReason(code) + "\r\n" + again
                        + "Connection: close\r\nContent-Length: 0\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII);
        d.ending();
        try {
            d.channel.getSinkChannel().write(ByteBuffer.wrap(answer)); // one that was not answered yet takes it whole
        } catch (IOException e) {
            close(d); // gone already
            return;
        }
        d.channel.getSourceChannel().setConduit(d.heads); // whatever reads a body there minds its bounds, and closes
        ConnectionUtils.cleanClose(d.channel);
    }

    /** The lingering close; Undertow's does it, with what still comes dropped on the way to it. */
    private void end(Downstream d) {
        d.ending();
        ConnectionUtils.cleanClose(d.channel);
    }

    private void close(Downstream d) {
        IoUtils.safeClose(d.channel);
        ended(d.channel); // in case no listener told
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
                    boolean idle = d.state == State.IDLE;
                    if (idle
                            ? !d.heads.begun() && (now >= d.until || (crowded && now - d.since > KEPT_SHORT_NS))
                            : now >= d.until) {
                        due.add(d); // an idle one with a head half read has Undertow's time for it
                    }
                }
                for (Downstream d : due) {
                    if (d.state == State.IDLE || d.state == State.READING) {
                        end(d);
                    } else {
                        close(d); // it takes no answer, or does not end its side: nothing can be waited for
                    }
                }
                look();
            });
        }
    }
}
