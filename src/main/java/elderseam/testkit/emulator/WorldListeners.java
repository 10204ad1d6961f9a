package elderseam.testkit.emulator;

import elderseam.core.AttemptOutcome;
import elderseam.core.FinalOutcome;
import java.util.List;

/** Several that watch one world, each told in turn. */
final class WorldListeners implements WorldListener {
    private final List<WorldListener> all;

    WorldListeners(List<WorldListener> all) {
        this.all = List.copyOf(all);
    }

    @Override
    public void handedIn(long now, Msg m, boolean again) {
        all.forEach(w -> w.handedIn(now, m, again));
    }

    @Override
    public void taken(long now, int dispatcher, Msg m) {
        all.forEach(w -> w.taken(now, dispatcher, m));
    }

    @Override
    public void answered(long now, Msg m, FinalOutcome answer) {
        all.forEach(w -> w.answered(now, m, answer));
    }

    @Override
    public void over(long now, Msg m, FinalOutcome.Kind kind) {
        all.forEach(w -> w.over(now, m, kind));
    }

    @Override
    public void called(long now, int dispatcher, Msg m, String endpoint) {
        all.forEach(w -> w.called(now, dispatcher, m, endpoint));
    }

    @Override
    public void connects(long now, int dispatcher, String endpoint, long until) {
        all.forEach(w -> w.connects(now, dispatcher, endpoint, until));
    }

    @Override
    public void ended(long now, int dispatcher, Msg m, String endpoint, AttemptOutcome end) {
        all.forEach(w -> w.ended(now, dispatcher, m, endpoint, end));
    }

    @Override
    public void ran(long now, Msg m) {
        all.forEach(w -> w.ran(now, m));
    }

    @Override
    public void waits(long now, int dispatcher, long destination, long until) {
        all.forEach(w -> w.waits(now, dispatcher, destination, until));
    }

    @Override
    public void drains(long now, int dispatcher, String endpoint) {
        all.forEach(w -> w.drains(now, dispatcher, endpoint));
    }

    @Override
    public void trouble(long now, long destination, boolean begins) {
        all.forEach(w -> w.trouble(now, destination, begins));
    }

    @Override
    public void felled(long now, long destination) {
        all.forEach(w -> w.felled(now, destination));
    }

    @Override
    public void process(long now, int dispatcher, boolean up) {
        all.forEach(w -> w.process(now, dispatcher, up));
    }
}
