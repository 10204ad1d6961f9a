/**
 * HTTP over XNIO, on one I/O thread ({@link elderseam.http.IoLoop}).
 *
 * <p>On the server side, {@link elderseam.http.HttpServer} accepts client connections and requests with Undertow.
 * {@code ClientConnections} limits the number of connections, {@code ClientConnection} is the state of one, and {@code
 * RequestReceiver} processes a request from its head to its response.
 *
 * <p>On the client side, {@link elderseam.http.EndpointConnectionPool} pools the connections to endpoints, discovery
 * and the platform. {@code EndpointConnection} is one such connection, and {@link elderseam.http.EndpointExchange} is
 * one request and its response, which {@code HttpResponseReader} parses.
 *
 * <p>All classes are confined to the I/O thread unless documented otherwise, and all times are nanoseconds of {@link
 * elderseam.core.Clock#now}. The package makes no decisions about requests: it contains neither retries nor policy.
 */
package elderseam.http;
