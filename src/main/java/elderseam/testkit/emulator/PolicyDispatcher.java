package elderseam.testkit.emulator;

import elderseam.core.ActiveRequest;
import elderseam.core.AttemptListener;
import elderseam.core.AttemptSender;
import elderseam.core.BreakerListener;
import elderseam.core.Clock;
import elderseam.core.EndpointCall;
import elderseam.core.EventLoop;
import elderseam.core.FinalOutcome;
import elderseam.core.Frontend;
import elderseam.core.InMemoryJournalStore;
import elderseam.core.Journal;
import elderseam.core.RequestDispatcher;
import elderseam.policy.BreakerView;
import elderseam.policy.ListUpdateKind;
import elderseam.policy.ListedEndpoint;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.function.BiConsumer;

/** The real module behind the real facade, with the real core and its journal, on virtual time and a store in memory. */
final class PolicyDispatcher implements EmulatedDispatcher, EventLoop, Frontend, AttemptSender {
    private static final long JOURNAL_BYTES = 8_000_000;
    private static final long EPOCH_MS = 1_800_000_000_000L;

    /** The clocks of the emulated process. */
    private static final class Virtual extends Clock {
        private final VirtualTime time;

        Virtual(VirtualTime time) {
            this.time = time;
        }

        @Override
        public long now() {
            return time.now();
        }

        @Override
        public long wallMs() {
            return EPOCH_MS + time.now() / MILLISECOND_NS;
        }
    }

    private final Place place;
    private final RequestDispatcher relay;
    private final PartitionView shares; // null: as the settings told once and for all

    /** {@code remembers}: what it learns outlasts its process; {@code shares}: it is told its part of what all do. */
    PolicyDispatcher(Place place, InMemoryJournalStore store, long seed, boolean remembers, boolean shares) {
        this.place = place;
        Clock clock = new Virtual(place.time());
        try {
            Journal journal = new Journal(store, JOURNAL_BYTES, clock);
            relay = new RequestDispatcher(
                    Policies.settings(place.plan()), seed, journal, clock, this, BreakerListener.NONE);
        } catch (IOException e) {
            throw new UncheckedIOException(e); // memory does not fail so
        }
        relay.registerFrontend((byte) 0, this, this);
        if (remembers) {
            relay.snapshots().restoreAndStartSaving();
        }
        this.shares = shares ? new PartitionView(place, relay) : null;
    }

    @Override
    public FinalOutcome take(ActiveRequest.Message m) {
        return relay.submit(m).orElse(null);
    }

    /** The first list brings back what an earlier process left. */
    @Override
    public void hosts(ListUpdateKind kind, List<ListedEndpoint> list) {
        boolean first = kind == ListUpdateKind.COMPLETE;
        relay.updateEndpoints(kind, list);
        if (shares != null) {
            shares.hosts(kind, list);
        }
        if (first) {
            relay.recover(() -> 0, () -> {});
        }
    }

    @Override
    public void closing(long end) {
        relay.shutDownBy(end);
    }

    @Override
    public void breakers(BiConsumer<Long, BreakerView> each) {
        relay.forEachBreaker(each);
    }

    @Override
    public void advise(long destination, double doubt, double trying) {
        relay.applyHealthReports(destination, doubt, trying);
    }

    // ---------------------------------------------------------------- what the core asks for

    @Override
    public void at(long time, Runnable task) {
        place.at(time, task);
    }

    @Override
    public void afterReading(Runnable task) {
        place.at(place.time().now(), task);
    }

    @Override
    public boolean isStalled() {
        return false;
    }

    @Override
    public void completed(ActiveRequest.Message message, FinalOutcome answer) {
        relay.markNotified(message.id());
        place.ended(message, answer);
    }

    @Override
    public EndpointCall send(
            ActiveRequest.Message m, String host, long connectBy, long answerBy, AttemptListener attempt) {
        return place.send(m, host, connectBy, answerBy, attempt);
    }

    @Override
    public void closeIdle(String host) {
        // an emulated connection costs nothing while it is idle
    }
}
