package elderseam.http;

import elderseam.logging.EventLogger;
import io.undertow.UndertowOptions;
import io.undertow.io.Receiver;
import io.undertow.protocols.ssl.UndertowXnioSsl;
import io.undertow.server.AbstractServerConnection;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RequestTooBigException;
import io.undertow.server.handlers.HttpContinueReadHandler;
import io.undertow.server.protocol.http.HttpOpenListener;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.util.Map;
import java.util.regex.Pattern;
import javax.net.ssl.SSLContext;
import org.xnio.ChannelListener;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.channels.AcceptingChannel;
import org.xnio.nio.InheritedListener;

/** The downstream side: takes whole requests, each answered once, now or later. */
public final class HttpServer {
    private static final EventLogger LOG = EventLogger.of(HttpServer.class);

    private static final Pattern LENGTH = Pattern.compile("[0-9]{1,18}"); // once: a request meets it
    /** A request, read to its end; the source is null where it is not known. */
    public record Request(String method, String path, HeaderMap headers, byte[] body, InetSocketAddress source) {
        public Request(String method, String path, HeaderMap headers, byte[] body) {
            this(method, path, headers, body, null);
        }

        public String header(String name) {
            String value = headers.getFirst(name);
            return value == null ? "" : value.strip();
        }
    }

    /** Where the one answer goes. */
    public interface Answerer {
        void answer(int code, Map<String, String> headers, String body);
    }

    /** What a front does with a request. */
    public interface Handler {
        void handle(Request request, Answerer answerer);
    }

    private static final int MOST_HEADER = 16 << 10, HEAD_MS = 2_400;
    private static final int ACCEPTING = 8; // more that are accepted, and about to take the place of others

    private final HttpOpenListener listener;
    private final IoLoop io;
    private final ServerSocketChannel inherited; // null: it binds its own
    private final ChannelListener<StreamConnection> opened;
    private final OptionMap options;
    private InetSocketAddress address;
    private AcceptingChannel<? extends StreamConnection> accepting; // null while it does not, or with an inherited one
    private InheritedListener given;
    private final UndertowXnioSsl ssl;
    private final int mostBody;
    private final Handler handler;
    final ClientConnections downstreams;
    private boolean closing;

    /** Serves TLS where a context is given, else plain HTTP. */
    public HttpServer(
            IoLoop io,
            InetSocketAddress address,
            int mostBody,
            int mostConnections,
            int mostReading,
            SSLContext context,
            Handler handler)
            throws IOException {
        this(io, address, null, mostBody, mostConnections, mostReading, context, handler);
    }

    /** {@code inherited}: the socket that already listens there, or null. */
    public HttpServer(
            IoLoop io,
            InetSocketAddress address,
            ServerSocketChannel inherited,
            int mostBody,
            int mostConnections,
            int mostReading,
            SSLContext context,
            Handler handler)
            throws IOException {
        this.io = io;
        this.address = address;
        this.inherited = inherited;
        this.mostBody = mostBody;
        this.handler = handler;
        this.downstreams = new ClientConnections(io, mostConnections, mostReading);
        this.listener = new HttpOpenListener(
                io.buffers,
                OptionMap.builder()
                        .set(UndertowOptions.MAX_HEADER_SIZE, MOST_HEADER)
                        .set(UndertowOptions.MAX_HEADERS, 64)
                        .set(UndertowOptions.MAX_ENTITY_SIZE, (long) mostBody)
                        .set(UndertowOptions.ALWAYS_SET_DATE, false)
                        .set(UndertowOptions.ENABLE_STATISTICS, false)
                        .set(UndertowOptions.REQUEST_PARSE_TIMEOUT, HEAD_MS)
                        .set(UndertowOptions.RECORD_REQUEST_START_TIME, false)
                        .getMap());
        listener.setRootHandler(new HttpContinueReadHandler(root())); // clients may ask before a long body
        this.options = OptionMap.builder()
                .set(Options.REUSE_ADDRESSES, true)
                .set(Options.TCP_NODELAY, true)
                .set(Options.BACKLOG, 256)
                .set(Options.CONNECTION_HIGH_WATER, mostConnections + ACCEPTING)
                .set(Options.CONNECTION_LOW_WATER, mostConnections + ACCEPTING)
                .getMap();
        this.opened = downstreams.guarding(listener);
        this.ssl =
                context == null ? null : new UndertowXnioSsl(io.worker.getXnio(), OptionMap.EMPTY, io.buffers, context);
        accept();
    }

    /** Takes connections, from the start on and again after {@link #stopAccepting()}. */
    public void accept() throws IOException {
        if (inherited != null) {
            given = given == null ? InheritedListener.on(io.thread, inherited, opened) : given;
            given.resume();
        } else if (accepting == null) {
            accepting = ssl == null
                    ? io.worker.createStreamConnectionServer(
                            address, ChannelListeners.openListenerAdapter(opened), options)
                    : ssl.createSslConnectionServer(
                            io.worker, address, ChannelListeners.openListenerAdapter(opened), options);
            address = accepting.getLocalAddress(InetSocketAddress.class);
            accepting.resumeAccepts();
        }
    }

    public InetSocketAddress address() {
        return address;
    }

    /** New connections get this certificate from now on. */
    public void renew(SSLContext context) {
        ssl.updateSSLContext(context);
    }

    private HttpHandler root() {
        return exchange -> {
            ClientConnections.Downstream d = downstreams.of(channel(exchange));
            if (d == null) { // closed meanwhile
                IoUtils.safeClose(exchange.getConnection());
                return;
            }
            exchange.addExchangeCompleteListener((x, next) -> {
                if (x.isPersistent()) {
                    d.idle();
                } else {
                    d.ending();
                }
                next.proceed();
            });
            long length = exchange.getRequestContentLength();
            boolean room = d.reads(length < 0 ? mostBody : Math.min(length, mostBody));
            if (!d.readable() || !framed(exchange.getRequestHeaders())) {
                refuse(exchange, 400);
            } else if (length > mostBody) {
                refuse(exchange, 413);
            } else if (!room) {
                refuse(exchange, 503);
            } else {
                exchange.getRequestReceiver().setMaxBufferSize(mostBody);
                exchange.getRequestReceiver()
                        .receiveFullBytes(
                                (x, body) -> {
                                    d.asked();
                                    x.dispatch(SameThreadExecutor.INSTANCE, () -> handle(x, body));
                                },
                                (x, e) -> refuse(
                                        x,
                                        e instanceof Receiver.RequestToLargeException
                                                        || e instanceof RequestTooBigException
                                                ? 413
                                                : 400));
            }
        };
    }

    private static StreamConnection channel(HttpServerExchange x) {
        return ((AbstractServerConnection) x.getConnection()).getChannel();
    }

    /** Whether the length of the body is told once and plainly: two readings of it could hide a further request. */
    private static boolean framed(HeaderMap headers) {
        HeaderValues lengths = headers.get(Headers.CONTENT_LENGTH), encodings = headers.get(Headers.TRANSFER_ENCODING);
        return lengths == null
                ? encodings == null
                        || (encodings.size() == 1
                                && encodings.getFirst().strip().equalsIgnoreCase("chunked"))
                : encodings == null
                        && lengths.size() == 1
                        && LENGTH.matcher(lengths.getFirst()).matches();
    }

    /** Whether more has come than the one request: its length was wrong, or a further one was sent before the answer. */
    private static boolean surplus(HttpServerExchange x) {
        AbstractServerConnection c = (AbstractServerConnection) x.getConnection();
        if (c.getExtraBytes() != null && c.getExtraBytes().getBuffer().hasRemaining()) {
            return true;
        }
        try {
            return c.getOriginalSourceConduit().read(ByteBuffer.allocate(1)) > 0;
        } catch (IOException e) {
            return false; // gone, as the answer will find
        }
    }

    /**
     * Answers what can't be served, and ends the connection: where the next request would begin is unknown. The exchange is dispatched,
     * and with that ours: Undertow would end it by an answer of its own, and close over what is unread where that fails.
     */
    private void refuse(HttpServerExchange x, int code) {
        x.dispatch(SameThreadExecutor.INSTANCE, () -> {
            ClientConnections.Downstream d = downstreams.of(channel(x));
            if (d != null && !x.isResponseStarted()) {
                downstreams.refuse(d, code);
            }
        });
    }

    private void handle(HttpServerExchange x, byte[] body) {
        if (surplus(x)) {
            refuse(x, 400);
            return;
        }
        Request r = new Request(
                x.getRequestMethod().toString(), x.getRequestPath(), x.getRequestHeaders(), body, x.getSourceAddress());
        try {
            handler.handle(r, (code, headers, text) -> answer(x, code, headers, text));
        } catch (RuntimeException e) { // one stream's fault must not reach another
            LOG.error("http.request_failed", e);
            if (!x.isResponseStarted()) {
                answer(x, 500, Map.of(), "");
            }
        }
    }

    private void answer(HttpServerExchange x, int code, Map<String, String> headers, String text) {
        ClientConnections.Downstream d = downstreams.of(channel(x));
        if (d == null || x.isResponseStarted()) {
            return;
        }
        d.answered();
        x.setStatusCode(code);
        headers.forEach((name, value) -> x.getResponseHeaders().put(new HttpString(name), value));
        if (closing) {
            x.getResponseHeaders().put(Headers.CONNECTION, "close");
        }
        x.getResponseSender().send(ByteBuffer.wrap(text.getBytes(java.nio.charset.StandardCharsets.UTF_8)));
    }

    /** Whether each answer from now on closes its connection; new ones are taken all the same. */
    public void closing(boolean closing) {
        this.closing = closing;
    }

    /** Closes the connections that carry nothing, once all that has arrived is read. */
    public void closeIdle() {
        downstreams.closeIdle();
    }

    /** Open connections. */
    public int open() {
        return downstreams.open();
    }

    /** Requests read, or being read, and not answered. */
    public int unanswered() {
        return downstreams.unanswered();
    }

    /** Ends all connections but those whose request is being read or answered. */
    public void endConnections() {
        downstreams.endAll();
    }

    /** Takes no new connections. */
    public void stopAccepting() {
        if (given != null) {
            given.suspend();
        }
        IoUtils.safeClose(accepting);
        accepting = null;
    }

    public void closeConnections() {
        listener.closeConnections();
    }
}
