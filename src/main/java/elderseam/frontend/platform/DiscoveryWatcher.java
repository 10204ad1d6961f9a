package elderseam.frontend.platform;

import static elderseam.logging.LogField.error;
import static elderseam.logging.LogField.field;

import elderseam.core.AttemptOutcome.Progress;
import elderseam.core.AttemptOutcome.Status;
import elderseam.core.Clock;
import elderseam.core.JsonValue;
import elderseam.core.RequestDispatcher;
import elderseam.http.EndpointAddress;
import elderseam.http.EndpointConnectionPool;
import elderseam.http.EndpointExchange;
import elderseam.http.HttpRequest;
import elderseam.http.HttpResult;
import elderseam.http.IoLoop;
import elderseam.logging.EventLogger;
import elderseam.policy.ListUpdateKind;
import java.io.IOException;
import java.util.List;

/**
 * Watches discovery's endpoint list by long polling, with one call in flight at a time. After each response, the next
 * call is sent immediately, before the list is applied. If discovery does not answer a call in time, the call is also
 * repeated immediately, on a new connection, since the list counts as out of date 6 s after discovery's last response.
 * Any other failure is reported to the dispatcher, whose policy decides when to {@link #watch} again. A version that goes
 * back is that of another process at discovery's address, whose changes say nothing about the list that is known here: its
 * complete list is requested. Confined to the I/O thread.
 */
public final class DiscoveryWatcher {
    private static final EventLogger LOG = EventLogger.of(DiscoveryWatcher.class);

    /** How long discovery may wait for a change before it answers, in milliseconds. */
    private static final long LONG_POLL_MS = 3_500;

    /**
     * The timeout for connecting, and the timeout for a response in addition to {@link #LONG_POLL_MS}. The two add up
     * to 5 s, which leaves 1 s to repeat an unanswered call before the list counts as out of date, at 6 s.
     */
    private static final long ANSWER_TIMEOUT_NS = 1_500 * Clock.MILLISECOND_NS;

    private static final String PATH = "/registry/instances";

    private final IoLoop io;
    private final EndpointConnectionPool connections;
    private final EndpointList endpoints;
    private final RequestDispatcher dispatcher;
    private EndpointAddress discovery;
    private long version; // of the endpoint list
    private boolean needsCompleteList; // the version comes from another discovery service
    private boolean suspended;
    private EndpointExchange pendingCall; // null while no call is in flight
    private int latestCallNumber;
    private Runnable onAnswer = () -> {};

    /**
     * @param discovery the address of discovery
     * @param endpoints the list to keep up to date
     * @param dispatcher receives each change of the list, and each failure to obtain it
     */
    public DiscoveryWatcher(
            IoLoop io,
            EndpointConnectionPool connections,
            EndpointAddress discovery,
            EndpointList endpoints,
            RequestDispatcher dispatcher) {
        this.io = io;
        this.connections = connections;
        this.discovery = discovery;
        this.endpoints = endpoints;
        this.dispatcher = dispatcher;
    }

    /** The maximum time between two responses of discovery if no call times out, in nanoseconds. */
    public static long maxAnswerIntervalNs() {
        return LONG_POLL_MS * Clock.MILLISECOND_NS + ANSWER_TIMEOUT_NS;
    }

    /** Sets the callback to run after each valid response of discovery, even if that response contains no changes. */
    public void onAnswer(Runnable onAnswer) {
        this.onAnswer = onAnswer;
    }

    /** Applies the last list that this dispatcher stored, in discovery's format; it may be out of date. */
    public void applyCachedList(JsonValue list) {
        version = list.get("version").asLong(0);
        dispatcher.updateEndpoints(ListUpdateKind.CACHED, endpoints.update(list.get("servers"), true));
    }

    /**
     * Applies the list of the predecessor process. The predecessor may have used another discovery service, so the next
     * call requests the complete list.
     */
    public void applyPredecessorList(JsonValue list) {
        needsCompleteList = true;
        applyCachedList(list);
    }

    /** Applies the list of another dispatcher that watches the same discovery service. Ignored unless suspended. */
    public void applyPeerList(JsonValue list) {
        long peerVersion = list.get("version").asLong(0);
        if (suspended && peerVersion != version) {
            version = peerVersion;
            dispatcher.updateEndpoints(ListUpdateKind.COMPLETE, endpoints.update(list.get("servers"), true));
        }
    }

    /** The address of discovery. */
    public EndpointAddress address() {
        return discovery;
    }

    /** The current list, in discovery's format. */
    public String encodedList() {
        return endpoints.encode(version);
    }

    /** Requests changes from discovery, unless a call is in flight or the watch is suspended. */
    public void watch() {
        if (pendingCall != null || suspended) {
            return;
        }
        if (needsCompleteList) {
            sendCall(PATH, io.clock.now() + ANSWER_TIMEOUT_NS);
        } else {
            String path = PATH + "?after=" + version + "&wait_ms=" + LONG_POLL_MS;
            sendCall(path, io.clock.now() + maxAnswerIntervalNs());
        }
    }

    /** Stops watching because another process watches discovery. */
    public void suspend() {
        suspended = true;
        abandonCall();
    }

    /** Resumes watching after {@link #suspend}. */
    public void resume() {
        suspended = false;
        watch();
    }

    /**
     * Changes the address of discovery. The first call to the new address requests the complete list, since its
     * versions may differ from those of the previous address.
     */
    public void changeAddress(EndpointAddress newAddress) {
        if (newAddress.equals(discovery)) {
            return;
        }
        abandonCall();
        discovery = newAddress;
        needsCompleteList = true;
        watch();
    }

    /** Cancels the call in flight, if any, and ignores its result. */
    private void abandonCall() {
        EndpointExchange abandoned = pendingCall;
        pendingCall = null;
        latestCallNumber++;
        if (abandoned != null) {
            abandoned.cancel();
        }
        connections.closeIdle(discovery);
    }

    private void sendCall(String path, long answerBy) {
        int callNumber = ++latestCallNumber;
        long connectBy = io.clock.now() + ANSWER_TIMEOUT_NS;
        pendingCall = connections.send(discovery, HttpRequest.get(path), connectBy, answerBy, result -> {
            if (callNumber == latestCallNumber) {
                pendingCall = null;
                onResult(result);
            }
        });
    }

    private void onResult(HttpResult result) {
        if (result.answered() && result.failure() == null && result.code() == 200) {
            try {
                applyResponse(JsonValue.read(result.body()));
                return;
            } catch (IOException e) {
                LOG.warn("discovery.response_invalid", error(e));
            }
        }
        if (result.failure() == Status.TIMED_OUT && result.progress() == Progress.WRITTEN) {
            connections.closeIdle(discovery); // other connections to the unresponsive server may hang too
            watch();
        } else {
            dispatcher.updateEndpoints(ListUpdateKind.FAILED, List.of());
        }
    }

    /**
     * Applies a response of discovery: the complete list, or only the changed entries.
     *
     * @throws IOException if it is not readable as a whole; its version then does not count as known, so that discovery
     *     sends what it holds again
     */
    private void applyResponse(JsonValue list) throws IOException {
        EndpointList.requireReadable(list);
        boolean complete = list.get("full").asBoolean();
        long newVersion = list.get("version").asLong(version);
        if (newVersion < version && !complete && !needsCompleteList) {
            LOG.warn("discovery.version_went_back", field("known", version), field("received", newVersion));
            needsCompleteList = true;
            watch();
            return;
        }
        version = newVersion;
        needsCompleteList = false;
        watch();
        ListUpdateKind kind = complete ? ListUpdateKind.COMPLETE : ListUpdateKind.CHANGES;
        dispatcher.updateEndpoints(kind, endpoints.update(list.get("servers"), complete));
        onAnswer.run();
    }
}
