package elderseam.frontend.cloudevents;

import elderseam.core.ActiveRequest;
import elderseam.core.AdmissionRules;
import elderseam.core.Clock;
import elderseam.core.FinalOutcome;
import elderseam.core.Frontend;
import elderseam.core.RequestDispatcher;
import elderseam.core.SettingsMap;
import elderseam.http.HttpRequestAttributes;
import elderseam.http.HttpServer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The frontend for CloudEvents over HTTP. The response to a request holds the final outcome of its event, or of each
 * event of its batch, and is sent once all are known. Confined to the I/O thread.
 *
 * <p>An event is refused only if the dispatcher does not know it: its sender may then submit it elsewhere. While another
 * process takes over, requests wait; where an outcome can't be awaited here any more, the request gets {@link
 * #OUTCOME_UNKNOWN}.
 */
public final class EventFrontend implements Frontend {
    /** This frontend's number. Journal and handover hold it: never to be changed. */
    public static final byte NUMBER = 1;

    /** The longest body of a request, in bytes. */
    public static final int MAX_BODY_BYTES = EventDecoder.MAX_BATCH_BYTES;

    /** The status of a request about whose events nothing is known here; an earlier copy of one may be in flight. */
    public static final int OUTCOME_UNKNOWN = EventResponse.OUTCOME_UNKNOWN;

    private static final String PATH = "/events";

    private enum State {
        SERVING,
        /** Another process may take over: requests wait. */
        SUSPENDED,
        /** Another process owns the events, or the next one will. */
        CLOSED
    }

    private record WaitingRequest(HttpServer.Request request, HttpServer.Answerer answerer) {}

    private final RequestDispatcher dispatcher;
    private final EventDecoder decoder;
    private final WebHookHandshake webHook;
    private final PendingEvents pendingEvents = new PendingEvents();
    private final List<WaitingRequest> waitingRequests = new ArrayList<>(); // no more than there are connections
    private AdmissionRules rules; // null where there are none
    private State state = State.SERVING;

    /** {@code rules}: the operator's, or null. */
    public EventFrontend(
            Clock clock,
            RequestDispatcher dispatcher,
            SettingsMap settings,
            EventConfiguration configuration,
            AdmissionRules rules) {
        this.dispatcher = dispatcher;
        this.decoder = new EventDecoder(clock, settings, configuration.outcomeRetentionNs());
        this.webHook = new WebHookHandshake(configuration.webHookOrigins(), configuration.webHookRatePerMinute());
        this.rules = rules;
    }

    /** Applies these rules, or none (null), from the next event on. */
    public void setRules(AdmissionRules rules) {
        this.rules = rules;
    }

    /** Answers a request, at once or when its events have their final outcomes. */
    public void handle(HttpServer.Request request, HttpServer.Answerer answerer) {
        if (!request.path().equals(PATH)) {
            answerer.answer(404, Map.of(), "");
            return;
        }
        switch (request.method()) {
            case "POST" -> receive(request, answerer);
            case "OPTIONS" -> {
                WebHookHandshake.Reply reply = webHook.answer(request);
                answerer.answer(reply.code(), reply.headers(), "");
            }
            default -> answerer.answer(405, Map.of("Allow", webHook.allowedMethods()), "");
        }
    }

    private void receive(HttpServer.Request request, HttpServer.Answerer answerer) {
        switch (state) {
            case SERVING -> submitAll(request, answerer);
            case SUSPENDED -> await(new WaitingRequest(request, answerer));
            case CLOSED -> EventResponse.answerOutcomeUnknown(answerer);
        }
    }

    private void await(WaitingRequest waiting) {
        waitingRequests.add(waiting);
        waiting.answerer().onAbandoned(() -> waitingRequests.remove(waiting));
    }

    /** Lets requests wait, because another process may take over the events. Outcomes are still answered. */
    public void suspend() {
        state = State.SUSPENDED;
    }

    /** Handles the requests that have waited, and all later ones: no other process has taken over. */
    public void resume() {
        state = State.SERVING;
        removeWaiting().forEach(waiting -> submitAll(waiting.request(), waiting.answerer()));
    }

    /**
     * Answers all requests with {@link #OUTCOME_UNKNOWN}, now and from now on: their senders repeat them, and the process
     * that owns the events then knows them.
     */
    public void close() {
        state = State.CLOSED;
        removeWaiting().forEach(waiting -> EventResponse.answerOutcomeUnknown(waiting.answerer()));
        pendingEvents.endAll();
    }

    private List<WaitingRequest> removeWaiting() {
        List<WaitingRequest> removed = List.copyOf(waitingRequests);
        waitingRequests.clear();
        return removed;
    }

    private void submitAll(HttpServer.Request request, HttpServer.Answerer answerer) {
        DecodedRequest decoded = decoder.decode(request, rules != null);
        EventResponse response = new EventResponse(decoded, answerer);
        answerer.onAbandoned(() -> pendingEvents.remove(response));
        List<DecodedEvent> events = decoded.events();
        for (int i = 0; i < events.size(); i++) {
            if (events.get(i) instanceof DecodedEvent.Valid valid) {
                Optional<EventResult> result = submit(request, valid);
                if (result.isPresent()) {
                    response.complete(i, result.get());
                } else {
                    pendingEvents.add(valid.message().id(), response, i);
                }
            } else if (events.get(i) instanceof DecodedEvent.Invalid invalid) {
                response.complete(i, EventResult.invalid(invalid.status(), invalid.reason()));
            }
        }
    }

    /** Submits an event; empty if its final outcome is not known yet. */
    private Optional<EventResult> submit(HttpServer.Request request, DecodedEvent.Valid event) {
        if (rules == null) {
            return dispatcher.submit(event.message()).map(EventResult::of);
        }
        AdmissionRules.Decision decision = evaluateRules(request, event);
        boolean invalid = decision instanceof AdmissionRules.Invalid;
        if (invalid && !dispatcher.isKnown(event.message().id())) { // rules of before may have accepted it
            return Optional.of(EventResult.invalid(400, ((AdmissionRules.Invalid) decision).reason()));
        }
        return decision.submitTo(dispatcher).map(EventResult::of);
    }

    private AdmissionRules.Decision evaluateRules(HttpServer.Request request, DecodedEvent.Valid event) {
        return rules.evaluate(
                event.message(), new HttpRequestAttributes("events", request, event.attributes(), event.data()));
    }

    /** The outcome needs no notification: the response holds it, or the sender repeats the event. */
    @Override
    public void completed(ActiveRequest.Message message, FinalOutcome outcome) {
        dispatcher.markNotified(message.id());
        pendingEvents.complete(message.id(), EventResult.of(outcome));
    }
}
