package elderseam.app;

import static elderseam.logging.LogField.error;
import static elderseam.logging.LogField.field;

import elderseam.acme.CertificateManager;
import elderseam.core.AdmissionRules;
import elderseam.core.Clock;
import elderseam.core.RequestDispatcher;
import elderseam.frontend.cloudevents.EventAttemptSender;
import elderseam.frontend.cloudevents.EventConfiguration;
import elderseam.frontend.cloudevents.EventFrontend;
import elderseam.frontend.platform.EndpointList;
import elderseam.frontend.platform.PlatformConfiguration;
import elderseam.frontend.platform.ResourceLimits;
import elderseam.http.EndpointConnectionPool;
import elderseam.http.HttpServer;
import elderseam.http.IoLoop;
import elderseam.logging.EventLogger;
import java.io.IOException;
import javax.net.ssl.SSLContext;

/**
 * Adds the CloudEvents frontend to a dispatcher, with its listeners and their certificate. Confined to the I/O thread.
 * Not loaded where the frontend is off and owes no outcome from an earlier process.
 */
final class CloudEventsSetup implements EventIntake {
    private static final EventLogger LOG = EventLogger.of(CloudEventsSetup.class);

    private static final int MAX_CLIENTS = 64;

    /** CloudEvents clients have at most this part of all client connections. */
    private static final int CLIENT_SHARE_DIVISOR = 4;

    private static final int MAX_CHALLENGE_BODY_BYTES = 1 << 10;

    /** How long an unknown challenge waits to be heard of from the member that orders. */
    private static final long CHALLENGE_WAIT_NS = 1_500 * Clock.MILLISECOND_NS;

    private static final long CHALLENGE_CHECK_INTERVAL_NS = 50 * Clock.MILLISECOND_NS;

    private static final long LISTEN_RETRY_NS = 1_000 * Clock.MILLISECOND_NS;

    private final IoLoop io;
    private final EventConfiguration events;
    private final ResourceLimits limits;
    private final EventFrontend frontend;
    private final ListenerGroup listeners;
    private final LeasedCertificateOrder certificateOrder; // null where each member orders its own
    private HttpServer secureListener; // null until the first certificate
    private SSLContext latestContext; // null until the first certificate

    /**
     * Registers the frontend with the dispatcher; {@link #openListeners} follows.
     *
     * @param rules the operator's rules, or null
     * @param certificateOrder where one member orders the certificate for all, else null
     */
    CloudEventsSetup(
            IoLoop io,
            PlatformConfiguration config,
            EventConfiguration events,
            RequestDispatcher dispatcher,
            EndpointConnectionPool endpointConnections,
            EndpointList endpoints,
            ListenerGroup listeners,
            AdmissionRules rules,
            LeasedCertificateOrder certificateOrder) {
        this.io = io;
        this.events = events;
        this.limits = config.limits();
        this.listeners = listeners;
        this.certificateOrder = certificateOrder;
        this.frontend = new EventFrontend(io.clock, dispatcher, config.settings(), events, rules);
        dispatcher.registerFrontend(
                EventFrontend.NUMBER,
                frontend,
                new EventAttemptSender(endpointConnections, endpoints::addressOf, dispatcher.endpointResponses()));
    }

    /** How many of the process's client connections this frontend takes at the most. */
    int maxConnections() {
        return events.listenAddress().isEmpty()
                ? 0
                : Math.min(MAX_CLIENTS, limits.clientConnections() / CLIENT_SHARE_DIVISOR);
    }

    /** Applies these rules, or none (null), from the next event on. */
    void rulings(AdmissionRules rules) {
        frontend.setRules(rules);
    }

    @Override
    public void suspend() {
        frontend.suspend();
    }

    @Override
    public void resume() {
        frontend.resume();
    }

    @Override
    public void close() {
        frontend.close();
    }

    /**
     * Opens the listeners, if the frontend is on: at once without TLS, else with the first certificate.
     *
     * @throws IOException if an address can't be used
     */
    void openListeners() throws IOException {
        if (events.listenAddress().isEmpty()) {
            return;
        }
        if (events.acmeDirectory().isEmpty()) {
            openEventListener(maxConnections(), null);
        } else {
            openWithCertificate(maxConnections() / 2);
        }
    }

    private HttpServer openEventListener(int maxClients, SSLContext context) throws IOException {
        HttpServer listener = new HttpServer(
                io,
                PlatformConfiguration.parseAddress(events.listenAddress()),
                EventFrontend.MAX_BODY_BYTES,
                maxClients,
                limits.requestBytes(),
                context,
                frontend::handle);
        listener.setUnreadStatus(EventFrontend.OUTCOME_UNKNOWN);
        listeners.add(listener);
        LOG.info("cloudevents.listening", field("address", listener.address()));
        return listener;
    }

    private void openWithCertificate(int maxClients) throws IOException {
        CertificateManager certificates = new CertificateManager(
                events.acmeDirectory(),
                events.certificateNames(),
                events.certificateFolder(),
                context -> io.run(() -> useCertificate(maxClients, context)),
                certificateOrder);
        if (certificateOrder != null) {
            certificateOrder.servedBy(certificates);
        }
        listeners.add(new HttpServer(
                io,
                PlatformConfiguration.parseAddress(events.challengeAddress()),
                MAX_CHALLENGE_BODY_BYTES,
                maxClients,
                limits.requestBytes(),
                null,
                (request, answerer) ->
                        answerChallenge(certificates, request, answerer, io.clock.now() + CHALLENGE_WAIT_NS)));
        certificates.start();
    }

    /** The events' listener opens with its first certificate, and gets each later one. */
    private void useCertificate(int maxClients, SSLContext context) {
        latestContext = context;
        if (secureListener == null) {
            openSecureListener(maxClients);
        } else {
            secureListener.updateCertificate(context);
        }
    }

    /** Tries again where another process still has the address: no later certificate may come for months. */
    private void openSecureListener(int maxClients) {
        if (secureListener != null) {
            return;
        }
        try {
            secureListener = openEventListener(maxClients, latestContext);
        } catch (IOException e) {
            LOG.error("cloudevents.listen_failed", error(e));
            io.at(io.clock.now() + LISTEN_RETRY_NS, () -> openSecureListener(maxClients));
        }
    }

    /** The authority may ask here before the order of another member has been heard of. */
    private void answerChallenge(
            CertificateManager certificates,
            HttpServer.Request request,
            HttpServer.Answerer answerer,
            long deadlineNs) {
        boolean mayBeHeardOf = certificateOrder != null && !certificates.knowsChallenge(request.path());
        if (mayBeHeardOf && io.clock.now() < deadlineNs) {
            io.at(
                    io.clock.now() + CHALLENGE_CHECK_INTERVAL_NS,
                    () -> answerChallenge(certificates, request, answerer, deadlineNs));
        } else {
            certificates.answerChallenge(request, answerer);
        }
    }
}
