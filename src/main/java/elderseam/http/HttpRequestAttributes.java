package elderseam.http;

import elderseam.core.RequestAttributes;
import elderseam.http.HttpServer.Request;
import java.util.Map;

/** What a request tells the operator's rules; {@code eventAttributes} and {@code body} are those of its message. */
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
        return request.source() == null || request.source().getAddress() == null
                ? ""
                : request.source().getAddress().getHostAddress();
    }
}
