/**
 * HTTP over XNIO, on one I/O thread ({@link elderseam.http.IoLoop}).
 *
 * <p>For clients, {@link elderseam.http.HttpServer} accepts connections and requests with Undertow; {@code
 * ClientConnections} bounds them, {@code ClientConnection} is the state of one, and {@code RequestReceiver} takes a
 * request from its head to its response. For endpoints, discovery and the platform, {@link
 * elderseam.http.EndpointConnectionPool} keeps connections, {@code EndpointConnection} is one of them, and {@link
 * elderseam.http.EndpointExchange} one request and its response, which {@code HttpResponseReader} parses.
 *
 * <p>Everything is confined to the I/O thread unless it says otherwise, and all times are nanoseconds of {@link
 * elderseam.core.Clock#now}. The package decides nothing about requests: it knows no retry and no policy.
 */
package elderseam.http;
