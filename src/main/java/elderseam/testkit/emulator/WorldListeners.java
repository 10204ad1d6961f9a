package elderseam.testkit.emulator;

import elderseam.core.AttemptOutcome;
import elderseam.core.FinalOutcome;
import java.util.List;

/** Passes each event on to several listeners, in their order. */
final class WorldListeners implements WorldListener {
    private final List<WorldListener> listeners;

    WorldListeners(List<WorldListener> listeners) {
        this.listeners = List.copyOf(listeners);
    }

    @Override
    public void submitted(long now, ClientRequest request, boolean again) {
        listeners.forEach(listener -> listener.submitted(now, request, again));
    }

    @Override
    public void accepted(long now, int dispatcher, ClientRequest request) {
        listeners.forEach(listener -> listener.accepted(now, dispatcher, request));
    }

    @Override
    public void answered(long now, ClientRequest request, FinalOutcome answer) {
        listeners.forEach(listener -> listener.answered(now, request, answer));
    }

    @Override
    public void answeredUnexpectedly(long now, String requestId, FinalOutcome answer) {
        listeners.forEach(listener -> listener.answeredUnexpectedly(now, requestId, answer));
    }

    @Override
    public void finished(long now, ClientRequest request, FinalOutcome.Kind kind) {
        listeners.forEach(listener -> listener.finished(now, request, kind));
    }

    @Override
    public void lost(long now, ClientRequest request) {
        listeners.forEach(listener -> listener.lost(now, request));
    }

    @Override
    public void attemptSent(long now, int dispatcher, ClientRequest request, String endpoint) {
        listeners.forEach(listener -> listener.attemptSent(now, dispatcher, request, endpoint));
    }

    @Override
    public void connectionOpened(long now, int dispatcher, String endpoint, long idleUntil) {
        listeners.forEach(listener -> listener.connectionOpened(now, dispatcher, endpoint, idleUntil));
    }

    @Override
    public void attemptEnded(long now, int dispatcher, ClientRequest request, String endpoint, AttemptOutcome outcome) {
        listeners.forEach(listener -> listener.attemptEnded(now, dispatcher, request, endpoint, outcome));
    }

    @Override
    public void executed(long now, ClientRequest request) {
        listeners.forEach(listener -> listener.executed(now, request));
    }

    @Override
    public void retryAfterReceived(long now, int dispatcher, long destination, long until) {
        listeners.forEach(listener -> listener.retryAfterReceived(now, dispatcher, destination, until));
    }

    @Override
    public void drainReceived(long now, int dispatcher, String endpoint) {
        listeners.forEach(listener -> listener.drainReceived(now, dispatcher, endpoint));
    }

    @Override
    public void troubleChanged(long now, long destination, boolean begins) {
        listeners.forEach(listener -> listener.troubleChanged(now, destination, begins));
    }

    @Override
    public void collapsed(long now, long destination) {
        listeners.forEach(listener -> listener.collapsed(now, destination));
    }

    @Override
    public void processChanged(long now, int dispatcher, boolean up) {
        listeners.forEach(listener -> listener.processChanged(now, dispatcher, up));
    }
}
