package elderseam.http;

import elderseam.core.RequestAttributes;
import elderseam.http.HttpServer.Request;
import java.net.InetSocketAddress;
import java.util.Map;

/**
 * The attributes of a received request that the operator's rules can refer to.
 *
 * @param frontend the name of the frontend that received it
 * @param eventAttributes the attributes of an event by name; empty if the request contains no event
 * @param body the message's body; for a batch of events, only this event's part of the request body
 */
public record HttpRequestAttributes(String frontend, Request request, Map<String, String> eventAttributes, byte[] body)
        implements RequestAttributes {
    @Override
    public String method() {
        return request.method();
    }

    @Override
    public String path() {
        return request.path();
    }

    @Override
    public Map<String, String> headers() {
        return new HeaderView(request.headers());
    }

    @Override
    public String clientAddress() {
        InetSocketAddress source = request.source();
        if (source == null || source.getAddress() == null) {
            return "";
        }
        return source.getAddress().getHostAddress();
    }
}
