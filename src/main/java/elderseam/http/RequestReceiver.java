package elderseam.http;

import elderseam.http.HttpServer.Handler;
import elderseam.http.HttpServer.Request;
import elderseam.logging.EventLogger;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.io.Receiver;
import io.undertow.server.AbstractServerConnection;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RequestTooBigException;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.regex.Pattern;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;

/**
 * Receives each request from Undertow: refuses malformed and too large requests, reads the body, passes the complete
 * request to the handler and sends the handler's response. Confined to the I/O thread.
 */
final class RequestReceiver implements HttpHandler {
    private static final EventLogger LOG = EventLogger.of(RequestReceiver.class);

    private static final Pattern CONTENT_LENGTH = Pattern.compile("[0-9]{1,18}");

    private final ClientConnections connections;
    private final int maxBodyBytes;
    private final Handler handler;
    private boolean closeAfterResponse;

    RequestReceiver(ClientConnections connections, int maxBodyBytes, Handler handler) {
        this.connections = connections;
        this.maxBodyBytes = maxBodyBytes;
        this.handler = handler;
    }

    /** Sets whether connections are closed after their next response. */
    void closeAfterResponse(boolean close) {
        closeAfterResponse = close;
    }

    /** Called by Undertow when the head of a request has arrived. */
    @Override
    public void handleRequest(HttpServerExchange exchange) {
        ClientConnection connection = connections.get(channel(exchange));
        if (connection == null) { // it was closed in the meantime
            IoUtils.safeClose(exchange.getConnection());
            return;
        }
        exchange.addExchangeCompleteListener((completed, next) -> {
            if (completed.isPersistent()) {
                connection.responseWritten();
            } else {
                connection.beginLingering();
            }
            next.proceed();
        });
        long length = exchange.getRequestContentLength();
        boolean reserved = connection.requestStarted(
                length < 0 ? maxBodyBytes : Math.min(length, maxBodyBytes), hasArrived(exchange, length));
        if (connection.isHeadMalformed() || !isUnambiguouslyFramed(exchange.getRequestHeaders())) {
            refuse(exchange, StatusCodes.BAD_REQUEST);
        } else if (length > maxBodyBytes) {
            refuse(exchange, StatusCodes.REQUEST_ENTITY_TOO_LARGE);
        } else if (!reserved) {
            refuse(exchange, connections.unreadStatus());
        } else {
            receiveBody(exchange, connection);
        }
    }

    /** Whether a body of {@code length} bytes was read together with the head; false if its length is unknown. */
    private static boolean hasArrived(HttpServerExchange exchange, long length) {
        PooledByteBuffer read = ((AbstractServerConnection) exchange.getConnection()).getExtraBytes();
        return length == 0 || (read != null && length > 0 && read.getBuffer().remaining() >= length);
    }

    private void receiveBody(HttpServerExchange exchange, ClientConnection connection) {
        Receiver receiver = exchange.getRequestReceiver();
        receiver.setMaxBufferSize(maxBodyBytes);
        receiver.receiveFullBytes(
                (received, body) -> {
                    connection.requestReceived();
                    received.dispatch(SameThreadExecutor.INSTANCE, () -> handle(received, body));
                },
                (failed, error) -> refuse(failed, statusOf(error)));
    }

    private static int statusOf(IOException error) {
        boolean tooLarge = error instanceof Receiver.RequestToLargeException || error instanceof RequestTooBigException;
        return tooLarge ? StatusCodes.REQUEST_ENTITY_TOO_LARGE : StatusCodes.BAD_REQUEST;
    }

    private static StreamConnection channel(HttpServerExchange exchange) {
        return ((AbstractServerConnection) exchange.getConnection()).getChannel();
    }

    /**
     * Whether the length of the body is declared only once and in a valid form. An ambiguous length would allow request
     * smuggling (RFC 9112, section 11.2).
     */
    private static boolean isUnambiguouslyFramed(HeaderMap headers) {
        HeaderValues lengths = headers.get(Headers.CONTENT_LENGTH);
        HeaderValues encodings = headers.get(Headers.TRANSFER_ENCODING);
        if (lengths == null) {
            return encodings == null || isChunked(encodings);
        }
        return encodings == null
                && lengths.size() == 1
                && CONTENT_LENGTH.matcher(lengths.getFirst()).matches();
    }

    private static boolean isChunked(HeaderValues encodings) {
        return encodings.size() == 1 && encodings.getFirst().strip().equalsIgnoreCase("chunked");
    }

    /** What follows a request in the input. */
    private enum NextInput {
        /** Nothing so far. */
        NONE,
        /** The declared length was wrong, or the client sent another request before it received the response. */
        SURPLUS,
        /** The client has ended its side, or the connection has failed. */
        END
    }

    private static NextInput nextInput(HttpServerExchange exchange) {
        AbstractServerConnection connection = (AbstractServerConnection) exchange.getConnection();
        if (connection.getExtraBytes() != null
                && connection.getExtraBytes().getBuffer().hasRemaining()) {
            return NextInput.SURPLUS;
        }
        try {
            int count = connection.getOriginalSourceConduit().read(ByteBuffer.allocate(1));
            return count > 0 ? NextInput.SURPLUS : count == 0 ? NextInput.NONE : NextInput.END;
        } catch (IOException e) {
            return NextInput.END;
        }
    }

    /**
     * Refuses a request and closes its connection, since the start of the next request in the input is unknown. The
     * exchange is dispatched, so that Undertow does not end it with its own response and close the socket with unread
     * input.
     */
    private void refuse(HttpServerExchange exchange, int statusCode) {
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {
            ClientConnection connection = connections.get(channel(exchange));
            if (connection != null && !exchange.isResponseStarted()) {
                connection.refuse(statusCode);
            }
        });
    }

    private void handle(HttpServerExchange exchange, byte[] body) {
        NextInput next = nextInput(exchange);
        if (next == NextInput.SURPLUS) {
            refuse(exchange, StatusCodes.BAD_REQUEST);
            return;
        }
        Request request = new Request(
                exchange.getRequestMethod().toString(),
                exchange.getRequestPath(),
                exchange.getQueryString(),
                exchange.getRequestHeaders(),
                body,
                exchange.getSourceAddress());
        ClientConnection connection = connections.get(channel(exchange));
        PendingAnswer answer = new PendingAnswer(
                (code, headers, text) -> answer(exchange, code, headers, text), connection, next == NextInput.END);
        if (connection != null) {
            connection.processingStarts(answer);
        }
        try {
            handler.handle(request, answer);
        } catch (RuntimeException e) { // an error in one request must not affect others
            LOG.error("http.request_failed", e);
            if (!exchange.isResponseStarted()) {
                answer(exchange, StatusCodes.INTERNAL_SERVER_ERROR, Map.of(), "");
            }
        }
    }

    private void answer(HttpServerExchange exchange, int statusCode, Map<String, String> headers, String body) {
        ClientConnection connection = connections.get(channel(exchange));
        if (connection == null || exchange.isResponseStarted()) {
            return;
        }
        connection.responseStarting();
        exchange.setStatusCode(statusCode);
        headers.forEach((name, value) -> exchange.getResponseHeaders().put(new HttpString(name), value));
        if (closeAfterResponse) {
            exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
        }
        exchange.getResponseSender().send(ByteBuffer.wrap(body.getBytes(StandardCharsets.UTF_8)));
    }
}
