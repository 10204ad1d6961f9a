package elderseam.frontend.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import elderseam.core.BreakerListener;
import elderseam.core.Clock;
import elderseam.core.InMemoryJournalStore;
import elderseam.core.Journal;
import elderseam.core.JsonValue;
import elderseam.core.RequestDispatcher;
import elderseam.core.SettingsMap;
import elderseam.http.EndpointAddress;
import elderseam.http.EndpointConnectionPool;
import elderseam.http.HttpServer;
import elderseam.http.IoLoop;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the watch of a discovery service whose responses are sent by the test. */
class DiscoveryWatcherTest {
    private static final int TIMEOUT_S = 10;
    private static final int MAX_BYTES = 1 << 16;
    private static final long IDLE_NS = 10_000 * Clock.MILLISECOND_NS;
    private static final String LIST =
            "{\"version\":41,\"full\":true,\"servers\":[{\"id\":\"h1\",\"addr\":\"127.0.0.1:1\","
                    + "\"zone\":\"z\",\"kind\":\"k\",\"cell\":1,\"state\":\"SERVING\"}]}";
    private static final String REMOVAL =
            "{\"version\":42,\"full\":false,\"servers\":[{\"id\":\"h1\",\"state\":\"DELETED\"}]}";

    private record Call(String target, HttpServer.Answerer answerer) {}

    private final BlockingQueue<Call> calls = new LinkedBlockingQueue<>();
    private final Clock clock = new Clock();
    private final IoLoop io;
    private final EndpointList endpoints;
    private final DiscoveryWatcher watcher;

    DiscoveryWatcherTest() throws Exception {
        io = new IoLoop(clock);
        HttpServer discovery = new HttpServer(
                io,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                MAX_BYTES,
                8,
                MAX_BYTES,
                null,
                (request, answerer) -> calls.add(new Call(request.target(), answerer)));
        InetSocketAddress bound = discovery.address();
        SettingsMap settings = new SettingsMap(Map.of(
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
        endpoints = new EndpointList(settings);
        Journal journal = new Journal(new InMemoryJournalStore(), 1 << 20, clock);
        RequestDispatcher dispatcher =
                new RequestDispatcher(settings.toPolicySettings(), 1, journal, clock, io, BreakerListener.NONE);
        watcher = new DiscoveryWatcher(
                io,
                new EndpointConnectionPool(io, IDLE_NS, 8, MAX_BYTES),
                new EndpointAddress("", bound.getHostString() + ":" + bound.getPort()),
                endpoints,
                dispatcher);
        dispatcher.onWatchRequested(watcher::watch);
        JsonValue list = JsonValue.read(LIST.getBytes(StandardCharsets.UTF_8));
        io.run(() -> watcher.applyCachedList(list));
    }

    private Call nextCall() throws InterruptedException {
        Call call = calls.poll(TIMEOUT_S, TimeUnit.SECONDS);
        assertNotNull(call, "no call received within " + TIMEOUT_S + " s");
        return call;
    }

    // Guards against issue 56: a list that can't be read whole moves the version, and the removal in it never comes
    // again.
    @ParameterizedTest
    @ValueSource(
            strings = {
                "{\"version\":42,\"full\":false}",
                "{\"version\":42,\"full\":false,\"servers\":{}}",
                "{\"version\":42,\"full\":false,\"servers\":[{\"state\":\"DELETED\"}]}"
            })
    void anUnreadableListIsAskedForAgain(String unreadable) throws Exception {
        Call first = nextCall();
        assertTrue(first.target.contains("after=41"), first.target);
        io.run(() -> first.answerer.answer(200, Map.of(), unreadable));
        Call second = nextCall();
        assertTrue(second.target.contains("after=41"), second.target);
        io.run(() -> second.answerer.answer(200, Map.of(), REMOVAL));
        Call third = nextCall();
        assertTrue(third.target.contains("after=42"), third.target);
        assertEquals(List.of(), endpoints.idsOf(1));
    }
}
