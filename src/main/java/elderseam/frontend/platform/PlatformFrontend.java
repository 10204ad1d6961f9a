package elderseam.frontend.platform;

import elderseam.core.ActiveRequest;
import elderseam.core.AdmissionRules;
import elderseam.core.Clock;
import elderseam.core.FinalOutcome;
import elderseam.core.Frontend;
import elderseam.core.Lifecycle;
import elderseam.core.RequestDispatcher;
import elderseam.core.SettingsMap;
import elderseam.http.EndpointAddress;
import elderseam.http.EndpointConnectionPool;
import elderseam.http.HttpRequestAttributes;
import elderseam.http.HttpServer;
import elderseam.http.IoLoop;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * The front end for the platform's clients. A request is answered immediately: as accepted, or with its final outcome
 * if that is already known. The platform is notified if an accepted request is later rejected or fails; a delivery
 * needs no notification. A message whose client has left before it was read is not accepted: the client has given it up, and
 * may have submitted it elsewhere under another id. Confined to the I/O thread.
 */
public final class PlatformFrontend implements Frontend {
    /** The number of this front end. It is stored in the journal and sent in handovers, so it must never change. */
    public static final byte NUMBER = 0;

    /** The maximum size of a request's body, in bytes. */
    public static final int MAX_BODY_BYTES = 64 << 10;

    private static final String READINESS_PATH = "/health/ready";
    /** For a client that has ended its sending side alone, and reads. */
    private static final long CLIENT_LEFT_RETRY_AFTER_NS = 100 * Clock.MILLISECOND_NS;

    private static final double NS_PER_SECOND = 1e9;

    private final RequestDispatcher dispatcher;
    private final PlatformRequestDecoder decoder;
    private final NotificationSender notifications;
    private final Lifecycle lifecycle;
    private AdmissionRules rules; // null if there are no rules

    /**
     * @param connections the connections for notifications
     * @param platform the address to which notifications are sent
     * @param rules the operator's admission rules; null if there are none
     * @param lifecycle determines the response to a readiness check
     */
    public PlatformFrontend(
            IoLoop io,
            EndpointConnectionPool connections,
            EndpointAddress platform,
            RequestDispatcher dispatcher,
            SettingsMap settings,
            AdmissionRules rules,
            Lifecycle lifecycle) {
        this.dispatcher = dispatcher;
        this.decoder = new PlatformRequestDecoder(io.clock, settings);
        this.notifications = new NotificationSender(io, connections, platform, dispatcher);
        this.rules = rules;
        this.lifecycle = lifecycle;
    }

    /** Replaces the admission rules for all later requests; null applies no rules. */
    public void setRules(AdmissionRules rules) {
        this.rules = rules;
    }

    /** Handles a client's request or a readiness check. The response is sent before this method returns. */
    public void handle(HttpServer.Request request, HttpServer.Answerer answerer) {
        if (request.path().equals(READINESS_PATH)) {
            answerer.answer(lifecycle.isReady() ? 200 : 503, Map.of(), "");
            return;
        }
        ActiveRequest.Message message;
        try {
            message = decoder.decode(request);
        } catch (InvalidRequestException e) {
            answerer.answer(e.status(), Map.of(), e.getMessage() + "\n");
            return;
        }
        if (answerer.hadClientLeft() && !dispatcher.isKnown(message.id())) {
            answer(FinalOutcome.rejected(CLIENT_LEFT_RETRY_AFTER_NS), answerer);
            return;
        }
        Optional<FinalOutcome> outcome = submit(request, message);
        if (outcome.isEmpty()) {
            answerer.answer(202, Map.of(), "");
        } else {
            answer(outcome.get(), answerer);
        }
    }

    private Optional<FinalOutcome> submit(HttpServer.Request request, ActiveRequest.Message message) {
        if (rules == null) {
            return dispatcher.submit(message);
        }
        HttpRequestAttributes attributes = new HttpRequestAttributes("platform", request, Map.of(), request.body());
        return rules.evaluate(message, attributes).submitTo(dispatcher);
    }

    private static void answer(FinalOutcome outcome, HttpServer.Answerer answerer) {
        switch (outcome.kind()) {
            case DELIVERED, WITHDRAWN -> answerer.answer(200, Map.of(), "");
            case REJECTED -> {
                String retryAfter = String.format(Locale.ROOT, "%.3f", outcome.retryAfterNs() / NS_PER_SECOND);
                answerer.answer(503, Map.of("Retry-After", retryAfter), "");
            }
            case FAILED -> answerer.answer(500, Map.of(), "");
        }
    }

    @Override
    public void completed(ActiveRequest.Message message, FinalOutcome outcome) {
        if (outcome.kind() == FinalOutcome.Kind.REJECTED || outcome.kind() == FinalOutcome.Kind.FAILED) {
            notifications.add(message, outcome);
        }
    }

    @Override
    public void flushNotifications() {
        notifications.flush();
    }

    /** Stops sending notifications, because another process sends them. */
    public void suspendNotifications() {
        notifications.suspend();
    }

    /** Resumes sending notifications after {@link #suspendNotifications}. */
    public void resumeNotifications() {
        notifications.resume();
    }

    /** Changes the address to which notifications are sent. */
    public void changePlatformAddress(EndpointAddress platform) {
        notifications.changeAddress(platform);
    }

    /** The number of notifications that the platform has not yet acknowledged. */
    public int unacknowledgedNotifications() {
        return notifications.unacknowledgedCount();
    }
}
