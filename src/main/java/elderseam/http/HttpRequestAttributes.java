package elderseam.http;

import elderseam.core.RequestAttributes;
import elderseam.http.HttpServer.Request;
import java.net.InetSocketAddress;
import java.util.Map;

/**
 * What a received request tells the operator's rules.
 *
 * @param frontend the name of the frontend that received it
 * @param eventAttributes the attributes of an event by name; otherwise empty
 * @param body the message's body, which in a batch of events is a part of the request's
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
