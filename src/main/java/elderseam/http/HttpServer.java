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
 * A listener for HTTP/1.1 requests: accepts connections within a bound, and passes each complete request to a handler,
 * which answers it once, now or later. Confined to the I/O thread.
 */
public final class HttpServer {
    /**
     * A complete request.
     *
     * @param path the path without the query
     * @param query what follows the path's question mark, as it was sent; empty if there is none
     * @param source the client's address; null if it is not known
     */
    public record Request(
            String method, String path, String query, HeaderMap headers, byte[] body, InetSocketAddress source) {
        /** A request without a query, whose client is not known. */
        public Request(String method, String path, HeaderMap headers, byte[] body) {
            this(method, path, "", headers, body, null);
        }

        /** The request target in origin form: the path, with the query where there is one. */
        public String target() {
            return query.isEmpty() ? path : path + "?" + query;
        }

        /** The first value of a header without the white space around it; empty if there is none. */
        public String header(String name) {
            String value = headers.getFirst(name);
            return value == null ? "" : value.strip();
        }
    }

    /** Takes the response to one request. */
    public interface Answerer {
        /**
         * Sends the response. Does nothing if one was sent already, or the client is gone.
         *
         * @param code the status code
         */
        void answer(int code, Map<String, String> headers, String body);
    }

    /** What a frontend does with a request. */
    public interface Handler {
        /** Answers the request, now or later; called on the I/O thread. */
        void handle(Request request, Answerer answerer);
    }

    private static final int MAX_HEAD_BYTES = 16 << 10;
    private static final int MAX_HEADERS = 64;
    private static final int HEAD_TIMEOUT_MS = 2_400;
    private static final int BACKLOG = 256;

    /** Accepted connections beyond the bound: each is refused, or evicts another. */
    private static final int MAX_CONNECTIONS_BEYOND_BOUND = 8;

    final ClientConnections clientConnections;

    private final IoLoop io;
    private final ServerSocketChannel inheritedSocket; // null: the server binds its own
    private final HttpOpenListener httpListener;
    private final ChannelListener<StreamConnection> onConnection;
    private final int maxOpen;
    private final UndertowXnioSsl ssl; // null: plain HTTP
    private final RequestReceiver receiver;
    private InetSocketAddress address;
    private AcceptingChannel<? extends StreamConnection>
            tlsListener; // null while it doesn't accept, and for plain HTTP
    private IoThreadListener listener; // null before the first start, after a stop of an own socket, and for TLS

    /** A server that binds a socket of its own; for the parameters see the other constructor. */
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
     * @param address where it listens; port 0 for any free one
     * @param inheritedSocket a socket that listens there already, for plain HTTP only; null to bind one
     * @param maxBodyBytes a request with a longer body gets a 413
     * @param maxConnections how many clients may be connected
     * @param maxBodyBytesInTransit how many bytes of bodies may be in reading at once, over all connections
     * @param context serves TLS; null for plain HTTP
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
        this.maxOpen = maxConnections + MAX_CONNECTIONS_BEYOND_BOUND;
        this.onConnection = clientConnections.guard(httpListener);
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
                .set(Options.CONNECTION_HIGH_WATER, maxOpen)
                .set(Options.CONNECTION_LOW_WATER, maxOpen)
                .getMap();
    }

    /**
     * Accepts connections again after {@link #stopAccepting()}; does nothing while it accepts.
     *
     * @throws IOException if the address can't be bound
     */
    public void startAccepting() throws IOException {
        if (ssl != null) {
            startAcceptingTls();
        } else if (listener == null) {
            ServerSocketChannel socket = inheritedSocket == null ? bind() : inheritedSocket;
            runOnIoThread(() -> listen(socket));
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

    /** At once where this is the I/O thread, else soon: clients wait in the socket's backlog until then. */
    private void runOnIoThread(Runnable task) {
        if (Thread.currentThread() == io.thread()) {
            task.run();
        } else {
            io.run(task);
        }
    }

    private void listen(ServerSocketChannel socket) {
        try {
            listener = IoThreadListener.register(io.thread(), socket, maxOpen, onConnection);
            listener.resume();
        } catch (IOException e) {
            throw new UncheckedIOException("the listening socket of " + address, e); // it was bound just now
        }
    }

    /**
     * Accepts no new connections; those that are open stay open. Who has connected by now is accepted: closing the
     * socket would reset it, with a request that may be on its way. (TLS is accepted on another thread of XNIO's,
     * where one that has just connected may still be reset.)
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

    /** Where it listens, with the port that was bound. */
    public InetSocketAddress address() {
        return address;
    }

    /** Uses this certificate for new connections; only for a server of TLS. */
    public void updateCertificate(SSLContext context) {
        ssl.updateSSLContext(context);
    }

    /** Whether each response from now on is the last on its connection; new connections are accepted all the same. */
    public void closeAfterResponse(boolean close) {
        receiver.closeAfterResponse(close);
    }

    /** Closes the connections that carry nothing, once all that has arrived is read. */
    public void closeIdleConnections() {
        clientConnections.closeIdle();
    }

    /** Closes all connections but those whose request is being read or answered; new ones get a 503. */
    public void closeAllButActive() {
        clientConnections.closeAllButActive();
    }

    /** Closes all connections at once. */
    public void closeConnections() {
        httpListener.closeConnections();
    }

    /** Open connections. */
    public int openConnections() {
        return clientConnections.openConnections();
    }

    /** Requests that were read, or are being read, and are not answered. */
    public int unansweredRequests() {
        return clientConnections.unansweredRequests();
    }
}
