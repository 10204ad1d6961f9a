package elderseam.http;

import elderseam.core.UpstreamRequest.Progress;
import elderseam.core.UpstreamRequest.Status;
import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.UndertowClient;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.util.Headers;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.XnioExecutor;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * Connections to other hosts, kept while idle for less than those hosts allow. One carries a request at a time, and
 * nothing is ever sent again from here. A request that is given up closes its connection, so that no copy stays out.
 */
public final class Connections {
    private static final int MOST_BODY = 1 << 20;

    /** An open connection: the request on it, or since when it stands idle. */
    private static final class Link {
        final ClientConnection connection;
        Request current;
        long since;

        Link(ClientConnection connection) {
            this.connection = connection;
        }
    }

    private final Io io;
    private final long idleNs;
    private final int most;
    private final Map<String, ArrayDeque<Link>> idle = new HashMap<>();   // no empty ones
    private int open;                                                     // with those still connecting

    /** {@code idleNs}: no connection stands idle for longer; {@code most}: no more are open at once. */
    public Connections(Io io, long idleNs, int most) {
        this.io = io;
        this.idleNs = idleNs;
        this.most = most;
    }

    /** Closes what stands idle to a host. */
    public void closeIdle(String address) {
        ArrayDeque<Link> kept = idle.remove(address);
        if (kept != null) {
            kept.forEach(link -> close(link.connection));
        }
    }

    /** Sends a request; {@code done} is told once, never from within this call. */
    public Request send(String address, ClientRequest request, byte[] body, long connectBy, long answerBy,
                        Consumer<Reply> done) {
        request.getRequestHeaders().put(Headers.HOST, address);
        if (body.length > 0) {
            request.getRequestHeaders().put(Headers.CONTENT_LENGTH, body.length);
        }
        Request r = new Request(address, request, body, answerBy, done);
        r.start(connectBy);
        return r;
    }

    private Link takeIdle(String address) {
        ArrayDeque<Link> kept = idle.get(address);
        Link found = null;
        while (kept != null && found == null && !kept.isEmpty()) {
            Link link = kept.pollLast();
            if (link.connection.isOpen() && io.clock.now() - link.since < idleNs) {
                found = link;
            } else {
                close(link.connection);
            }
        }
        idle.computeIfPresent(address, (a, left) -> left.isEmpty() ? null : left);
        return found;
    }

    /** Closes what has stood idle longest, to any host; false where nothing does. */
    private boolean makeRoom() {
        String longest = idle.entrySet().stream().min(Comparator.comparingLong(e -> e.getValue().peekFirst().since))
                .map(Map.Entry::getKey).orElse(null);
        if (longest == null) {
            return false;
        }
        close(idle.get(longest).pollFirst().connection);
        idle.computeIfPresent(longest, (a, kept) -> kept.isEmpty() ? null : kept);
        return true;
    }

    private void keep(String address, Link link) {
        long since = io.clock.now();
        link.since = since;
        idle.computeIfAbsent(address, a -> new ArrayDeque<>()).add(link);
        io.at(since + idleNs, () -> {
            ArrayDeque<Link> kept = idle.get(address);
            if (link.since == since && kept != null && kept.remove(link)) {
                close(link.connection);
                idle.computeIfPresent(address, (a, left) -> left.isEmpty() ? null : left);
            }
        });
    }

    /**
     * Closes the socket itself. The client's own close() only shuts its sending down, and once a request's channel
     * has been shut that reaches no socket: the upstream host would go on serving a request that was given up.
     */
    private static void close(ClientConnection c) {
        try {
            IoUtils.safeClose(c.performUpgrade());
        } catch (IOException e) {
            IoUtils.safeClose(c);
        }
    }

    private Link opened(ClientConnection c) {
        Link link = new Link(c);
        c.addCloseListener(x -> {
            open--;
            if (link.current != null) {
                link.current.finish(Status.BROKEN);
            }
        });
        return link;
    }

    /** One request under way. */
    public final class Request {
        private final String address;
        private final ClientRequest request;
        private final ByteBuffer body;
        private final long answerBy;
        private final Consumer<Reply> done;
        private final ByteArrayOutputStream answer = new ByteArrayOutputStream();
        private Progress progress = Progress.NOT_CONNECTED;
        private Link link;
        private ClientExchange exchange;
        private XnioExecutor.Key timer;
        private boolean over;

        private Request(String address, ClientRequest request, byte[] body, long answerBy, Consumer<Reply> done) {
            this.address = address;
            this.request = request;
            this.body = ByteBuffer.wrap(body);
            this.answerBy = answerBy;
            this.done = done;
        }

        private void start(long connectBy) {
            Link kept = takeIdle(address);
            if (kept != null) {
                io.run(() -> connected(kept));
                return;
            }
            if (open >= most && !makeRoom()) {
                io.run(() -> finish(Status.BROKEN));
                return;
            }
            open++;
            timer = io.at(connectBy, () -> finish(Status.TIMED_OUT));
            UndertowClient.getInstance().connect(new ClientCallback<>() {
                @Override
                public void completed(ClientConnection c) {
                    Link fresh = opened(c);
                    io.run(() -> connected(fresh));
                }

                @Override
                public void failed(IOException e) {
                    open--;
                    io.run(() -> finish(Status.BROKEN));
                }
            }, URI.create("http://" + address), io.thread, io.buffers, OptionMap.EMPTY);
        }

        private void connected(Link to) {
            if (over) {
                close(to.connection);   // came up too late
                return;
            }
            if (timer != null) {
                timer.remove();
            }
            link = to;
            link.current = this;
            timer = io.at(answerBy, () -> finish(Status.TIMED_OUT));
            link.connection.sendRequest(request, new ClientCallback<>() {
                @Override
                public void completed(ClientExchange e) {
                    begin(e);
                }

                @Override
                public void failed(IOException e) {
                    finish(Status.BROKEN);
                }
            });
        }

        private void begin(ClientExchange e) {
            exchange = e;
            progress = body.hasRemaining() ? Progress.PARTLY_WRITTEN : Progress.WRITTEN;
            e.setResponseListener(new ClientCallback<>() {
                @Override
                public void completed(ClientExchange x) {
                    progress = Progress.ANSWERED;
                    read(x.getResponseChannel());
                }

                @Override
                public void failed(IOException x) {
                    finish(Status.BROKEN);
                }
            });
            if (body.hasRemaining()) {
                write(e.getRequestChannel());
            }
        }

        /** Once the last byte has been handed to the network, the request may have run. */
        private void write(StreamSinkChannel to) {
            try {
                while (body.hasRemaining()) {
                    if (to.write(body) == 0) {
                        to.getWriteSetter().set(this::write);
                        to.resumeWrites();
                        return;
                    }
                }
                progress = progress == Progress.ANSWERED ? progress : Progress.WRITTEN;
                to.shutdownWrites();
                if (!to.flush()) {
                    to.getWriteSetter().set(ChannelListeners.flushingChannelListener(null,
                            (c, x) -> finish(Status.BROKEN)));
                    to.resumeWrites();
                } else {
                    to.suspendWrites();
                }
            } catch (IOException x) {
                finish(Status.BROKEN);
            }
        }

        private void read(StreamSourceChannel from) {
            try (PooledByteBuffer pooled = io.buffers.allocate()) {
                ByteBuffer b = pooled.getBuffer();
                while (answer.size() <= MOST_BODY) {
                    b.clear();
                    int n = from.read(b);
                    if (n == 0) {
                        from.getReadSetter().set(this::read);
                        from.resumeReads();
                        return;
                    }
                    if (n < 0) {
                        finish(null);
                        return;
                    }
                    byte[] part = new byte[n];
                    b.flip();
                    b.get(part);
                    answer.write(part, 0, n);
                }
                finish(Status.BROKEN);
            } catch (IOException x) {
                finish(Status.BROKEN);
            }
        }

        /** Gives the request up; its end is told before this returns. */
        public void abandon() {
            finish(Status.ABANDONED);
        }

        /** With no failure the whole answer is there; else an answer whose first line came still counts. */
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
                if (failure == null && link.connection.isOpen()) {
                    keep(address, link);
                } else {
                    close(link.connection);
                }
            }
            done.accept(progress == Progress.ANSWERED
                    ? new Reply(progress, failure, exchange.getResponse().getResponseCode(),
                            exchange.getResponse().getResponseHeaders(), answer.toByteArray())
                    : Reply.none(progress, failure));
        }
    }
}
