package elderseam.frontend.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import elderseam.core.Clock;
import elderseam.core.JsonValue;
import elderseam.core.RequestDispatcher;
import elderseam.http.EndpointAddress;
import elderseam.http.EndpointConnectionPool;
import elderseam.http.HttpServer;
import elderseam.http.IoLoop;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the watch of a discovery service whose responses are sent by the test. */
class DiscoveryWatcherTest {
    private static final int TIMEOUT_S = 10;
    private static final long IDLE_NS = 10_000 * Clock.MILLISECOND_NS;
    private static final String LIST =
            "{\"version\":41,\"full\":true,\"servers\":[{\"id\":\"h1\",\"addr\":\"127.0.0.1:1\","
                    + "\"zone\":\"z\",\"kind\":\"k\",\"cell\":1,\"state\":\"SERVING\"}]}";
    private static final String REMOVAL =
            "{\"version\":42,\"full\":false,\"servers\":[{\"id\":\"h1\",\"state\":\"DELETED\"}]}";

    private record Call(String target, HttpServer.Answerer answerer) {}

    private final BlockingQueue<Call> calls = new LinkedBlockingQueue<>();
    private final IoLoop io;
    private final EndpointList endpoints;
    private final DiscoveryWatcher watcher;

    DiscoveryWatcherTest() throws Exception {
        io = new IoLoop(new Clock());
        EndpointAddress address =
                LoopbackDispatcher.serve(io, (request, answerer) -> calls.add(new Call(request.target(), answerer)));
        endpoints = new EndpointList(LoopbackDispatcher.SETTINGS);
        RequestDispatcher dispatcher = LoopbackDispatcher.create(io);
        watcher = new DiscoveryWatcher(
                io,
                new EndpointConnectionPool(io, IDLE_NS, 8, LoopbackDispatcher.MAX_BYTES),
                address,
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

    /** Guards against a list that is kept although another process, with another list, serves at discovery's address. */
    @Test
    void aVersionThatGoesBackIsThatOfAnotherList() throws Exception {
        Call first = nextCall();
        assertTrue(first.target.contains("after=41"), first.target);
        io.run(() -> first.answerer.answer(200, Map.of(), "{\"version\":2,\"full\":false,\"servers\":[]}"));
        Call second = nextCall();
        assertEquals("/registry/instances", second.target);
        String other = LIST.replace("h1", "h2").replace("41", "2");
        io.run(() -> second.answerer.answer(200, Map.of(), other));
        Call third = nextCall();
        assertTrue(third.target.contains("after=2"), third.target);
        assertEquals(List.of("h2"), endpoints.idsOf(1));
    }

    /** An answer to the request for the complete list is believed, whatever it says: no loop of requests. */
    @Test
    void aVersionThatGoesBackIsAskedForOnce() throws Exception {
        Call first = nextCall();
        String changes = REMOVAL.replace("42", "2");
        io.run(() -> first.answerer.answer(200, Map.of(), changes));
        Call second = nextCall();
        io.run(() -> second.answerer.answer(200, Map.of(), changes));
        Call third = nextCall();
        assertTrue(third.target.contains("after=2"), third.target);
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
