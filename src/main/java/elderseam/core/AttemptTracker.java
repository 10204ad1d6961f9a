package elderseam.core;

import elderseam.core.AttemptOutcome.Progress;
import elderseam.core.AttemptOutcome.Status;
import elderseam.policy.PolicySettings;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Begins and cancels attempts and processes their outcomes. Each attempt is recorded in the journal before its first
 * byte can be sent, and is counted while it is in flight. Confined to the event-loop thread.
 */
final class AttemptTracker {
    private final RequestDispatcher dispatcher;
    private final PolicySettings settings;
    private final PolicyFacade policy;
    private final Journal journal;
    private final Clock clock;
    private final EventLoop loop;
    private final Metrics metrics;
    private final RequestLog log;
    private final OutcomeCorrection corrections;
    private final Map<Byte, AttemptSender> senders = new HashMap<>();
    private final AttemptCounter inFlight = new AttemptCounter();

    AttemptTracker(
            RequestDispatcher dispatcher,
            PolicySettings settings,
            PolicyFacade policy,
            Journal journal,
            Clock clock,
            EventLoop loop,
            Metrics metrics,
            RequestLog log) {
        this.dispatcher = dispatcher;
        this.settings = settings;
        this.policy = policy;
        this.journal = journal;
        this.clock = clock;
        this.loop = loop;
        this.metrics = metrics;
        this.log = log;
        this.corrections = new OutcomeCorrection(dispatcher, settings, journal, clock, metrics);
    }

    /** Registers the sender for the requests that a frontend submits. */
    void registerSender(byte frontend, AttemptSender sender) {
        senders.put(frontend, sender);
    }

    /** Closes the idle connections of all senders to an endpoint. */
    void closeIdle(String endpoint) {
        senders.values().forEach(sender -> sender.closeIdle(endpoint));
    }

    /** Enables the counts of attempts in flight per destination. */
    void countByDestination() {
        inFlight.countByDestination();
    }

    /** Number of attempts in flight. */
    int inFlight() {
        return inFlight.total();
    }

    /** Attempts in flight to a destination, of those begun since {@link #countByDestination}. */
    int inFlight(long destination) {
        return inFlight.inFlightTo(destination);
    }

    /** Begins attempts that share a call; skips those whose request is no longer in flight. */
    void begin(List<PolicyDecision.BeginAttempt> call) {
        List<StartedAttempt> started = new ArrayList<>(call.size());
        for (PolicyDecision.BeginAttempt begin : call) {
            ActiveRequest request = dispatcher.request(begin.requestId());
            if (request != null) {
                recordAttempt(request, begin).ifPresent(started::add);
            }
        }
        CallSplitter.split(started).forEach(this::send);
    }

    /** Records an attempt in the journal; empty if that fails, because then the attempt must not be sent. */
    private Optional<StartedAttempt> recordAttempt(ActiveRequest request, PolicyDecision.BeginAttempt begin) {
        long start = clock.now();
        int number = request.attempts;
        request.attempts++;
        ActiveAttempt attempt = track(request, number, begin.endpoint(), start);
        log.attemptBegan(request, number, begin.endpoint());
        if (!journal.attemptBegins(request.id(), attempt.zone)) {
            // the attempt must not be sent without a record; a local failure says nothing about the endpoint
            loop.at(
                    start,
                    () -> attempt.ended(AttemptOutcome.unanswered(Progress.NOT_CONNECTED, Status.LOCAL_FAILURE)));
            return Optional.empty();
        }
        long latestAnswer = Math.min(begin.answerBy(), request.message.latestOutcome(start));
        return Optional.of(new StartedAttempt(request, attempt, latestAnswer));
    }

    /** Sends attempts in one call, which times out at the earliest of their response deadlines. */
    private void send(List<StartedAttempt> call) {
        StartedAttempt first = call.get(0);
        long answerBy = call.stream().mapToLong(StartedAttempt::answerBy).min().orElseThrow();
        long connectBy = Math.min(answerBy, clock.now() + settings.connections().timeoutNs());
        AttemptSender sender = senders.get(first.request().message.frontend());
        List<AttemptSender.CallEntry> entries = call.stream()
                .map(started -> new AttemptSender.CallEntry(started.request().message, started.attempt()))
                .toList();
        List<EndpointCall> calls = sender.sendAll(entries, first.attempt().endpoint, connectBy, answerBy);
        for (int i = 0; i < calls.size(); i++) {
            call.get(i).request().inFlightCall = calls.get(i);
        }
    }

    /** Counts an attempt as in flight: one that begins here or one that is still in flight in the predecessor. */
    ActiveAttempt track(ActiveRequest request, int number, String endpoint, long start) {
        inFlight.add(request.message.destination(), 1);
        request.lastAttempt = new ActiveAttempt(request, number, endpoint, start);
        return request.lastAttempt;
    }

    /** Cancels an attempt if it is in flight. */
    void cancel(ActiveRequest request, int number) {
        if (request.inFlightCall != null && request.attempts - 1 == number) {
            request.inFlightCall.cancel();
        }
    }

    /**
     * The listener of one attempt, called by its sender. After a handover it forwards the attempt's outcome to the
     * successor.
     */
    final class ActiveAttempt implements AttemptListener {
        private ActiveRequest request;
        final int number;
        final String endpoint;
        final long start;

        /** The name of its endpoint's zone, empty if unknown. */
        private final String zone;

        private boolean delivered; // by the response, not by a late one
        private boolean over;
        private boolean releaseDue;

        private ActiveAttempt(ActiveRequest request, int number, String endpoint, long start) {
            this.request = request;
            this.number = number;
            this.endpoint = endpoint;
            this.start = start;
            this.zone = policy.zoneOf(endpoint);
        }

        @Override
        public ConnectionReuse connectionReuse() {
            return corrections.connectionReuse(request.message);
        }

        @Override
        public boolean maySend() {
            return !dispatcher.handover().isTransferred() && policy.maySend(clock.now(), request.id(), endpoint);
        }

        @Override
        public void written(AttemptConnection connection) {
            log.attemptWritten(request, number, endpoint, connection);
            metrics.attemptWritten(request.message.classIndex());
        }

        @Override
        public void ended(AttemptOutcome outcome) {
            end(outcome);
            over = true;
            if (releaseDue) {
                releaseBody();
            }
        }

        private void end(AttemptOutcome outcome) {
            request.inFlightCall = null;
            inFlight.add(request.message.destination(), -1);
            if (dispatcher.handover().forward(request, this, false, outcome)) {
                return;
            }
            log.attemptEnded(request, number, endpoint, outcome);
            if (outcome.status() == Status.LOCAL_FAILURE) {
                metrics.attemptFailedLocally();
            }
            journal.attemptEnded(request.id(), outcome.mayHaveRun());
            request.mayHaveRun |= outcome.mayHaveRun();
            policy.attemptEnded(clock.now(), request.id(), number, endpoint, start, outcome);
            if (outcome.completesRequest()) {
                delivered = request.outcome == null;
                complete(outcome);
            }
            dispatcher.attemptEnded();
        }

        @Override
        public void refuted() {
            if (delivered) {
                corrections.refuted(request, endpoint, zone, start);
            }
        }

        @Override
        public int retainedBytes() {
            return request.message.body().length;
        }

        /** Takes effect once the attempt has ended: then nothing but this attempt refers to its completed request. */
        @Override
        public void releaseBody() {
            releaseDue = true;
            if (over) {
                request = request.withoutBody();
            }
        }

        private void complete(AttemptOutcome outcome) {
            boolean withdrawn = outcome.status() == Status.WITHDRAWN;
            dispatcher.complete(
                    request,
                    withdrawn ? FinalOutcome.WITHDRAWN : FinalOutcome.DELIVERED,
                    withdrawn ? OutcomeReason.WITHDRAWN : OutcomeReason.DELIVERED);
        }

        /** A late delivery does not complete the request if a further attempt is in flight or the outcome is final. */
        @Override
        public void answeredLate(AttemptOutcome outcome) {
            if (dispatcher.handover().forward(request, this, true, outcome)) {
                return;
            }
            policy.answeredLate(clock.now(), endpoint, outcome);
            boolean waiting = request.inFlightCall == null && dispatcher.request(request.id()) == request;
            if (outcome.completesRequest() && waiting) {
                policy.withdraw(clock.now(), request.id());
                complete(outcome);
            }
            dispatcher.attemptEnded();
        }
    }
}
