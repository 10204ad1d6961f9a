package elderseam.http;

import elderseam.core.AttemptOutcome.Progress;
import elderseam.core.AttemptOutcome.Status;
import elderseam.core.Clock;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import org.xnio.conduits.ConduitStreamSinkChannel;

/**
 * Connections to other hosts, kept while idle for less than those hosts allow. One carries a request at a time, and
 * nothing is ever sent again from here. A request that is given up ends the sending on its connection, so that no copy
 * stays out, and that connection is closed after a second, or sooner where room is needed. An answer that is spoilt, or
 * followed by what does not belong to it, closes its connection at once.
 */
public final class EndpointConnectionPool {
    private static final long WHOLE_NS = 700 * Clock.MS; // from the first byte of an answer to its last
    private static final long LOOK_NS = 100 * Clock.MS;
    private static final long LISTEN_NS = 1_000 * Clock.MS; // for the answer to a request given up
    private static final int MOST_LISTENING = 32;
    private static final OptionMap OPTIONS = OptionMap.create(Options.TCP_NODELAY, true);

    /** An open connection: the request on it, or since when it stands idle, or the request given up on it. */
    final class Link {
        final StreamConnection channel;
        Request current, givenUp;
        long since;
        boolean closed;

        Link(StreamConnection channel, Request first) {
            this.channel = channel;
            this.current = first;
            channel.getSourceChannel().setReadListener(c -> readable());
            channel.getSourceChannel().resumeReads();
        }

        void close() {
            if (!closed) {
                closed = true;
                open--;
                listening.remove(this);
                IoUtils.safeClose(channel);
            }
        }

        /** What comes next: -1 the end, 0 nothing now. */
        private int read() {
            if (closed) {
                return -1;
            }
            buffer.clear();
            try {
                return channel.getSourceChannel().read(buffer);
            } catch (IOException e) {
                return -1;
            } finally {
                buffer.flip();
            }
        }

        private void readable() {
            for (int n = read(); n != 0 && !closed; n = read()) {
                if (givenUp != null) {
                    givenUp.cameLate(n, this);
                } else if (current == null) { // nothing was asked
                    forget(this);
                    close();
                } else if (current.came(n)) {
                    return;
                }
            }
        }

        /** Whether nothing has come unasked: neither an end nor what would be taken for the next answer. */
        boolean quiet() {
            return read() == 0;
        }
    }

    private final IoLoop io;
    private final long idleNs;
    private int most;
    private final int mostBody;
    private final ByteBuffer buffer = ByteBuffer.allocateDirect(16 << 10);
    final Map<EndpointAddress, ArrayDeque<Link>> idle = new HashMap<>(); // no empty ones
    private int open; // with those still connecting
    private final ArrayDeque<Link> listening = new ArrayDeque<>(); // oldest first
    private boolean looking;

    /** {@code idleNs}: no connection stands idle for longer; {@code most}: no more are open at once;
     *  {@code mostBody}: a longer answer is spoilt. */
    public EndpointConnectionPool(IoLoop io, long idleNs, int most, int mostBody) {
        this.io = io;
        this.idleNs = idleNs;
        this.most = most;
        this.mostBody = mostBody;
    }

    /** Closes what stands idle to a host. */
    public void closeIdle(EndpointAddress host) {
        ArrayDeque<Link> kept = idle.remove(host);
        if (kept != null) {
            kept.forEach(Link::close);
        }
    }

    /** No more than so many are open at once from now on; those that are open stay. */
    public void most(int most) {
        this.most = most;
    }

    /** Closes all that stands idle. */
    public void closeIdle() {
        List.copyOf(idle.keySet()).forEach(this::closeIdle);
    }

    /** Sends a request; {@code done} is told once, never from within this call. */
    public Request send(
            EndpointAddress host, HttpRequest call, long connectBy, long answerBy, Consumer<HttpResult> done) {
        return send(host, call, connectBy, answerBy, () -> true, () -> {}, null, done);
    }

    /** The same; {@code maySend} is asked before bytes leave, {@code written} is run once the last one has, and {@code late},
     *  where there is one, is told of an answer that came after the request was given up: for a second more its connection is
     *  listened to. */
    public Request send(
            EndpointAddress host,
            HttpRequest call,
            long connectBy,
            long answerBy,
            BooleanSupplier maySend,
            Runnable written,
            Consumer<HttpResult> late,
            Consumer<HttpResult> done) {
        Request r = new Request(host, call.encoded(host.address()), connectBy, answerBy, maySend, written, late, done);
        r.start();
        return r;
    }

    private Link takeIdle(EndpointAddress host) {
        Link found = null;
        for (ArrayDeque<Link> kept = idle.get(host); found == null && kept != null && !kept.isEmpty(); ) {
            Link link = kept.pollLast();
            if (io.clock.now() - link.since < idleNs && link.quiet()) {
                found = link;
            } else {
                link.close();
            }
        }
        dropEmpty(host);
        return found;
    }

    private void dropEmpty(EndpointAddress host) {
        idle.computeIfPresent(host, (h, kept) -> kept.isEmpty() ? null : kept);
    }

    private void forget(Link link) {
        idle.values().removeIf(kept -> kept.remove(link) && kept.isEmpty());
    }

    /** Closes one that carries nothing that is owed: listened to, or idle for longest, to any host. */
    private boolean makeRoom() {
        if (!listening.isEmpty()) {
            listening.peekFirst().close();
            return true;
        }
        EndpointAddress longest = idle.entrySet().stream()
                .min(Comparator.comparingLong(e -> e.getValue().peekFirst().since))
                .map(Map.Entry::getKey)
                .orElse(null);
        if (longest == null) {
            return false;
        }
        idle.get(longest).pollFirst().close();
        dropEmpty(longest);
        return true;
    }

    private void keep(EndpointAddress host, Link link) {
        link.since = io.clock.now();
        idle.computeIfAbsent(host, h -> new ArrayDeque<>(2)).add(link);
        look();
    }

    private void look() {
        if (!looking && !(idle.isEmpty() && listening.isEmpty())) {
            looking = true;
            io.at(io.clock.now() + LOOK_NS, () -> {
                looking = false;
                long since = io.clock.now() - idleNs;
                List<Link> due = new ArrayList<>();
                idle.values()
                        .forEach(kept ->
                                kept.stream().filter(l -> l.since <= since).forEach(due::add));
                due.forEach(link -> {
                    forget(link);
                    link.close();
                });
                long heard = io.clock.now() - LISTEN_NS;
                while (!listening.isEmpty() && listening.peekFirst().since <= heard) {
                    listening.peekFirst().close();
                }
                look();
            });
        }
    }

    /** One request under way. */
    public final class Request {
        private final EndpointAddress host;
        private final ByteBuffer bytes;
        private final long connectBy, answerBy;
        private final BooleanSupplier maySend;
        private final Runnable written;
        private final Consumer<HttpResult> late, done;
        private final HttpResponseReader answer = new HttpResponseReader(mostBody);
        private Progress progress = Progress.NOT_CONNECTED;
        private Link link;
        private IoFuture<StreamConnection> connecting;
        private XnioExecutor.Key timer;
        private int armed; // counts timers: one that was replaced may have come due, and wait its turn
        private boolean answering, over;

        private Request(
                EndpointAddress host,
                ByteBuffer bytes,
                long connectBy,
                long answerBy,
                BooleanSupplier maySend,
                Runnable written,
                Consumer<HttpResult> late,
                Consumer<HttpResult> done) {
            this.host = host;
            this.bytes = bytes;
            this.connectBy = connectBy;
            this.answerBy = answerBy;
            this.maySend = maySend;
            this.written = written;
            this.late = late;
            this.done = done;
        }

        private void start() {
            link = takeIdle(host);
            if (link == null) {
                connect();
                return;
            }
            link.current = this;
            io.run(this::begin);
        }

        private void connect() {
            InetSocketAddress to = host.socket();
            if (to == null || (open >= most && !makeRoom())) {
                io.run(() -> finish(Status.BROKEN));
                return;
            }
            open++;
            expire(connectBy, Status.TIMED_OUT);
            connecting = io.thread.openStreamConnection(to, this::connected, OPTIONS);
            connecting.addNotifier(
                    (future, none) -> {
                        if (future.getStatus() != IoFuture.Status.DONE) {
                            io.run(() -> {
                                open--;
                                finish(Status.BROKEN);
                            });
                        }
                    },
                    null);
        }

        private void connected(StreamConnection channel) {
            Link fresh = new Link(channel, this);
            if (over) {
                fresh.close(); // came up too late
                return;
            }
            link = fresh;
            expire(answerBy, Status.TIMED_OUT);
            io.run(this::begin);
        }

        private void expire(long by, Status as) {
            if (timer != null) {
                timer.remove();
            }
            int number = ++armed;
            timer = io.timer(by, () -> {
                if (number == armed) {
                    giveUp(as);
                }
            });
        }

        private void begin() {
            if (over || link == null || progress != Progress.NOT_CONNECTED) {
                return;
            }
            if (!maySend.getAsBoolean()) {
                finish(Status.NOT_STARTED);
                return;
            }
            expire(answerBy, Status.TIMED_OUT);
            progress = Progress.PARTLY_WRITTEN;
            write(link.channel.getSinkChannel());
        }

        /** Once the last byte has been handed to the network, the request may have run. */
        private void write(ConduitStreamSinkChannel to) {
            try {
                while (!over && bytes.hasRemaining()) {
                    if (!maySend.getAsBoolean()) { // cut off, it never runs
                        finish(Status.NOT_STARTED);
                    } else if (to.write(bytes) == 0) {
                        to.setWriteListener(this::write);
                        to.resumeWrites();
                        return;
                    }
                }
                if (!over) {
                    to.suspendWrites();
                    progress = Progress.WRITTEN;
                    written.run();
                }
            } catch (IOException x) {
                finish(Status.BROKEN);
            }
        }

        /** So many bytes of an answer are in the buffer, or -1: its end. True once the request is over, or elsewhere. */
        private boolean came(int n) {
            if (progress == Progress.NOT_CONNECTED) {
                if (connecting != null) {
                    finish(Status.BROKEN);
                } else { // the kept connection had ended, and nothing was written yet
                    link.close();
                    link = null;
                    connect();
                }
                return true;
            }
            if (n < 0) {
                answer.ended();
            } else {
                answer.read(buffer);
            }
            if (answer.whole()) {
                boolean clean = n > 0
                        && !buffer.hasRemaining()
                        && answer.kept()
                        && progress == Progress.WRITTEN
                        && link.quiet();
                progress = Progress.ANSWERED;
                finish(clean ? null : Status.ERROR);
            } else if (answer.spoilt()) {
                finish(answering || n > 0 ? Status.ERROR : Status.BROKEN); // an answer of sorts, or none
            } else if (!answering) {
                answering = true;
                expire(Math.min(answerBy, io.clock.now() + WHOLE_NS), Status.ERROR);
            }
            return over;
        }

        /** Gives the request up; its end is told before this returns. */
        public void abandon() {
            giveUp(Status.ABANDONED);
        }

        /** What has arrived counts first: it may be the answer, or tell of a wait. */
        private void giveUp(Status why) {
            if (!over && link != null && progress == Progress.WRITTEN) {
                link.readable();
            }
            finish(why);
        }

        /** Ends the sending, which gives the request up as a close would, and listens for what is under way. */
        private boolean listens(Status why) {
            if (late == null || progress != Progress.WRITTEN || (why != Status.TIMED_OUT && why != Status.ABANDONED)) {
                return false;
            }
            try {
                link.channel.getSinkChannel().shutdownWrites();
                link.channel.getSinkChannel().flush();
            } catch (IOException e) {
                return false;
            }
            if (listening.size() >= MOST_LISTENING) {
                listening.peekFirst().close();
            }
            link.givenUp = this;
            link.since = io.clock.now();
            listening.add(link);
            look();
            return true;
        }

        /** So many bytes came for a request given up, or its end. */
        private void cameLate(int n, Link from) {
            if (n < 0) {
                answer.ended();
            } else {
                answer.read(buffer);
            }
            if (answer.whole() || answer.spoilt() || n < 0) {
                from.givenUp = null;
                from.close();
                if (answer.whole()) {
                    late.accept(
                            new HttpResult(Progress.ANSWERED, null, answer.code(), answer.headers(), answer.body()));
                }
            }
        }

        /** With no failure, or nothing sent, the connection can be used again; a whole answer counts in any case. */
        private void finish(Status failure) {
            if (over) {
                return;
            }
            over = true;
            if (timer != null) {
                timer.remove();
            }
            if (link != null) {
                link.current = null;
                if (failure == null || (failure == Status.NOT_STARTED && progress == Progress.NOT_CONNECTED)) {
                    keep(host, link);
                } else if (!listens(failure)) {
                    link.close();
                }
            } else if (connecting != null) {
                connecting.cancel();
            }
            done.accept(
                    progress == Progress.ANSWERED
                            ? new HttpResult(progress, null, answer.code(), answer.headers(), answer.body())
                            : HttpResult.none(progress, failure, answer.code()));
        }
    }
}
