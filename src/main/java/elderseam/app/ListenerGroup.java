package elderseam.app;

import elderseam.http.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/**
 * The HTTP listeners of this process: the platform's, which is added first, and those of CloudEvents where they are on.
 * Confined to the I/O thread.
 */
final class ListenerGroup {
    private final List<HttpServer> listeners = new ArrayList<>();

    /** The platform's listener is the first to be added. */
    void add(HttpServer listener) {
        listeners.add(listener);
    }

    /** Where the platform's listener listens. */
    InetSocketAddress platformAddress() {
        return platform().address();
    }

    /** The platform's requests that are read, or being read, and not answered. */
    int unansweredPlatformRequests() {
        return platform().unansweredRequests();
    }

    private HttpServer platform() {
        return listeners.get(0);
    }

    /** Accepts connections again after {@link #stopAccepting}; an IOException says that an address is in use by now. */
    void resumeAccepting() throws IOException {
        for (HttpServer listener : listeners) {
            listener.startAccepting();
        }
    }

    /** Accepts no new connections. */
    void stopAccepting() {
        listeners.forEach(HttpServer::stopAccepting);
    }

    /** Whether each answer from now on is the last on its connection. */
    void closeAfterAnswer(boolean close) {
        listeners.forEach(listener -> listener.closeAfterResponse(close));
    }

    /** Closes the connections that carry no request. */
    void closeIdleConnections() {
        listeners.forEach(HttpServer::closeIdleConnections);
    }

    /** Closes all connections but those whose request is being read or answered. */
    void closeFinishedConnections() {
        listeners.forEach(HttpServer::closeAllButActive);
    }

    /** Whether no client is connected. */
    boolean hasNoConnections() {
        return listeners.stream().allMatch(listener -> listener.openConnections() == 0);
    }
}
