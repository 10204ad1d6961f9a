package elderseam.http;

import io.undertow.UndertowOptions;
import io.undertow.protocols.ssl.UndertowXnioSsl;
import io.undertow.server.handlers.HttpContinueReadHandler;
import io.undertow.server.protocol.http.HttpOpenListener;
import io.undertow.util.HeaderMap;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.util.Map;
import javax.net.ssl.SSLContext;
import org.xnio.ChannelListener;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.channels.AcceptingChannel;
import org.xnio.nio.IoThreadListener;

/**
 * An HTTP/1.1 server on one listening socket. It accepts a limited number of connections and passes each complete
 * request to a handler, which answers it once, immediately or later. Confined to the I/O thread.
 */
public final class HttpServer {
    /**
     * A complete request.
     *
     * @param path the path without the query
     * @param query the query string after the question mark, not decoded; empty if there is none
     * @param source the client's address; null if unknown
     */
    public record Request(
            String method, String path, String query, HeaderMap headers, byte[] body, InetSocketAddress source) {
        /** Creates a request without a query and with an unknown client address. */
        public Request(String method, String path, HeaderMap headers, byte[] body) {
            this(method, path, "", headers, body, null);
        }

        /** Returns the request target in origin form: the path, followed by the query if there is one. */
        public String target() {
            return query.isEmpty() ? path : path + "?" + query;
        }

        /** Returns the first value of a header without surrounding white space; empty if there is none. */
        public String header(String name) {
            String value = headers.getFirst(name);
            return value == null ? "" : value.strip();
        }
    }

    /** Sends the response to one request. */
    public interface Answerer {
        /**
         * Sends the response. Does nothing if a response was sent before or the client has disconnected.
         *
         * @param code the status code
         */
        void answer(int code, Map<String, String> headers, String body);

        /**
         * Sets the listener that is run once if the request will get no response through this object any more, because
         * its connection has ended or the server has answered it itself. Not run after {@link #answer}.
         */
        default void onAbandoned(Runnable listener) {}

        /**
         * Whether the client had ended its sending side, or its connection had failed, when the request was passed to the
         * handler. It may still read the response.
         */
        default boolean hadClientLeft() {
            return false;
        }

        /** Whether that is so now. Reads from the socket. */
        default boolean hasClientLeft() {
            return false;
        }
    }

    /** The frontend's handler of requests. */
    public interface Handler {
        /** Answers the request, immediately or later; called on the I/O thread. */
        void handle(Request request, Answerer answerer);
    }

    private static final int MAX_HEAD_BYTES = 16 << 10;
    private static final int MAX_HEADERS = 64;
    private static final int HEAD_TIMEOUT_MS = 2_400;
    private static final int BACKLOG = 256;

    /** Number of connections accepted in excess of the limit; each is refused or evicts another connection. */
    private static final int MAX_CONNECTIONS_OVER_LIMIT = 8;

    final ClientConnections clientConnections;

    private final IoLoop io;
    private final ServerSocketChannel inheritedSocket; // null: the server binds a socket itself
    private final HttpOpenListener httpListener;
    private final ChannelListener<StreamConnection> onConnection;
    private final int maxOpenConnections;
    private final UndertowXnioSsl ssl; // null: plain HTTP
    private final RequestReceiver receiver;
    private InetSocketAddress address;
    private AcceptingChannel<? extends StreamConnection> tlsListener; // null while not accepting, and for plain HTTP

    /** Null before the first start, after {@link #stopAccepting()} closed its socket, and for TLS. */
    private IoThreadListener listener;

    /** Creates a server that binds a new listening socket; for the parameters see the other constructor. */
    public HttpServer(
            IoLoop io,
            InetSocketAddress address,
            int maxBodyBytes,
            int maxConnections,
            int maxBodyBytesInTransit,
            SSLContext context,
            Handler handler)
            throws IOException {
        this(io, address, null, maxBodyBytes, maxConnections, maxBodyBytesInTransit, context, handler);
    }

    /**
     * Creates a server and starts to accept connections.
     *
     * @param address the address to listen on; port 0 selects any free port
     * @param inheritedSocket a socket that is already listening on this address, for plain HTTP only; null to bind one
     * @param maxBodyBytes the maximum length of a request body; a request with a longer one gets a 413
     * @param maxConnections the maximum number of client connections
     * @param maxBodyBytesInTransit the maximum total size of the request bodies being read on all connections
     * @param context the TLS context; null for plain HTTP
     * @throws IOException if the address can't be bound
     */
    public HttpServer(
            IoLoop io,
            InetSocketAddress address,
            ServerSocketChannel inheritedSocket,
            int maxBodyBytes,
            int maxConnections,
            int maxBodyBytesInTransit,
            SSLContext context,
            Handler handler)
            throws IOException {
        this.io = io;
        this.address = address;
        this.inheritedSocket = inheritedSocket;
        this.clientConnections = new ClientConnections(io, maxConnections, maxBodyBytesInTransit);
        this.receiver = new RequestReceiver(clientConnections, maxBodyBytes, handler);
        this.httpListener = new HttpOpenListener(io.buffers(), undertowOptions(maxBodyBytes));
        httpListener.setRootHandler(new HttpContinueReadHandler(receiver)); // clients may send Expect: 100-continue
        this.maxOpenConnections = maxConnections + MAX_CONNECTIONS_OVER_LIMIT;
        this.onConnection = clientConnections.limitingListener(httpListener);
        this.ssl = context == null
                ? null
                : new UndertowXnioSsl(io.worker().getXnio(), OptionMap.EMPTY, io.buffers(), context);
        startAccepting();
    }

    private static OptionMap undertowOptions(int maxBodyBytes) {
        return OptionMap.builder()
                .set(UndertowOptions.MAX_HEADER_SIZE, MAX_HEAD_BYTES)
                .set(UndertowOptions.MAX_HEADERS, MAX_HEADERS)
                .set(UndertowOptions.MAX_ENTITY_SIZE, (long) maxBodyBytes)
                .set(UndertowOptions.ALWAYS_SET_DATE, false)
                .set(UndertowOptions.ENABLE_STATISTICS, false)
                .set(UndertowOptions.REQUEST_PARSE_TIMEOUT, HEAD_TIMEOUT_MS)
                .set(UndertowOptions.RECORD_REQUEST_START_TIME, false)
                .getMap();
    }

    private OptionMap tlsSocketOptions() {
        return OptionMap.builder()
                .set(Options.REUSE_ADDRESSES, true)
                .set(Options.TCP_NODELAY, true)
                .set(Options.BACKLOG, BACKLOG)
                .set(Options.CONNECTION_HIGH_WATER, maxOpenConnections)
                .set(Options.CONNECTION_LOW_WATER, maxOpenConnections)
                .getMap();
    }

    /**
     * Accepts connections again after {@link #stopAccepting()}; does nothing if it is already accepting.
     *
     * @throws IOException if the address can't be bound
     */
    public void startAccepting() throws IOException {
        if (ssl != null) {
            startAcceptingTls();
        } else if (listener == null) {
            ServerSocketChannel socket = inheritedSocket == null ? bind() : inheritedSocket;
            runOrScheduleOnIoThread(() -> listen(socket));
        } else if (inheritedSocket != null) {
            listener.resume();
        }
    }

    private void startAcceptingTls() throws IOException {
        if (tlsListener == null) {
            tlsListener = ssl.createSslConnectionServer(
                    io.worker(), address, ChannelListeners.openListenerAdapter(onConnection), tlsSocketOptions());
            address = tlsListener.getLocalAddress(InetSocketAddress.class);
            tlsListener.resumeAccepts();
        }
    }

    private ServerSocketChannel bind() throws IOException {
        ServerSocketChannel socket = ServerSocketChannel.open();
        try {
            socket.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            socket.bind(address, BACKLOG);
            address = (InetSocketAddress) socket.getLocalAddress();
            return socket;
        } catch (IOException e) {
            socket.close();
            throw e;
        }
    }

    /**
     * Runs a task immediately on the I/O thread, or schedules it there when called on another thread. Until it runs,
     * new connections wait in the socket's backlog.
     */
    private void runOrScheduleOnIoThread(Runnable task) {
        if (Thread.currentThread() == io.thread()) {
            task.run();
        } else {
            io.run(task);
        }
    }

    private void listen(ServerSocketChannel socket) {
        try {
            listener = IoThreadListener.register(io.thread(), socket, maxOpenConnections, onConnection);
            listener.resume();
        } catch (IOException e) {
            // not expected, since the socket was bound immediately before
            throw new UncheckedIOException("cannot register the listening socket of " + address, e);
        }
    }

    /**
     * Stops accepting new connections; open ones stay open. Unless the socket is inherited, connections that are
     * already established in its backlog are accepted first: closing the socket would reset them together with requests
     * that may be in transit. TLS connections are accepted on another thread of XNIO, so a TLS connection that was just
     * established may still be reset.
     */
    public void stopAccepting() {
        if (listener != null && inheritedSocket != null) {
            listener.suspend();
        } else if (listener != null) {
            listener.acceptPendingAndClose();
            listener = null;
        }
        IoUtils.safeClose(tlsListener);
        tlsListener = null;
    }

    /** Returns the address it listens on, with the actual port. */
    public InetSocketAddress address() {
        return address;
    }

    /**
     * Sets the status with which connections and requests are turned away unread, for lack of capacity or at the end of
     * the process. The default is 503. A server whose clients repeat a request under the same identity needs another
     * one: a 503 tells that the request will not be executed, and an earlier copy of it may be in flight. With another
     * status, clients that have ended their side while their requests are processed make room for new connections.
     */
    public void setUnreadStatus(int statusCode) {
        clientConnections.setUnreadStatus(statusCode);
    }

    /** Uses the certificate of the given context for new connections; only for a TLS server. */
    public void updateCertificate(SSLContext context) {
        ssl.updateSSLContext(context);
    }

    /** Sets whether connections are closed after their next response. New connections are still accepted. */
    public void closeAfterResponse(boolean close) {
        receiver.closeAfterResponse(close);
    }

    /**
     * Closes the connections without a request in progress, once all input that has arrived is read. New connections
     * whose first request is still expected stay open.
     */
    public void closeIdleConnections() {
        clientConnections.closeIdle();
    }

    /**
     * Closes all connections except those whose request is being read or answered, once all input that has arrived is
     * read. Connections that have not sent a request yet are turned away with the status of {@link #setUnreadStatus}.
     */
    public void closeAllButActive() {
        clientConnections.closeAllButActive();
    }

    /** Closes all connections immediately. */
    public void closeConnections() {
        httpListener.closeConnections();
    }

    /** Returns the number of open connections. */
    public int openConnections() {
        return clientConnections.openConnections();
    }

    /** Returns the number of requests that are being read or have not been answered. */
    public int unansweredRequests() {
        return clientConnections.unansweredRequests();
    }
}
