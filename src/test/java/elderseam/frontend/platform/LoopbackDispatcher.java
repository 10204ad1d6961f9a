package elderseam.frontend.platform;

import elderseam.core.BreakerListener;
import elderseam.core.InMemoryJournalStore;
import elderseam.core.Journal;
import elderseam.core.RequestDispatcher;
import elderseam.core.SettingsMap;
import elderseam.http.EndpointAddress;
import elderseam.http.HttpServer;
import elderseam.http.IoLoop;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Map;

/** A dispatcher with one class, and a server on loopback that a test answers for. */
final class LoopbackDispatcher {
    static final int MAX_BYTES = 1 << 16;
    static final SettingsMap SETTINGS = new SettingsMap(Map.of(
            "discovery", "ask",
            "flavors", "k",
            "localities", "z",
            "extra.callSlots", "4",
            "limits.mostHeld", "8",
            "limits.maxAttempts", "3",
            "services.count", "1",
            "services.0.effect", "once",
            "services.0.targetNs", "2000000000",
            "services.0.giveUpNs", "9000000000"));

    private LoopbackDispatcher() {}

    static RequestDispatcher create(IoLoop io) throws IOException {
        Journal journal = new Journal(new InMemoryJournalStore(), 1 << 20, io.clock);
        return new RequestDispatcher(SETTINGS.toPolicySettings(), 1, journal, io.clock, io, BreakerListener.NONE);
    }

    /** Starts a server, and returns its address. */
    static EndpointAddress serve(IoLoop io, HttpServer.Handler handler) throws IOException {
        InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        InetSocketAddress bound = new HttpServer(io, anyPort, MAX_BYTES, 8, MAX_BYTES, null, handler).address();
        return new EndpointAddress("", bound.getHostString() + ":" + bound.getPort());
    }
}
