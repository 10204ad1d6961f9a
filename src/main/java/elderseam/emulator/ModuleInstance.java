package elderseam.emulator;

import elderseam.core.Answer;
import elderseam.core.Attempt;
import elderseam.core.Clock;
import elderseam.core.Front;
import elderseam.core.Journal;
import elderseam.core.Loop;
import elderseam.core.Relay;
import elderseam.core.Stream;
import elderseam.core.Upstream;
import elderseam.core.UpstreamRequest;
import elderseam.module.Sender;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.function.BiConsumer;

/** The real module behind the real facade, with the real core and its journal, on virtual time and a store in memory. */
final class ModuleInstance implements Instance, Loop, Front, Upstream {
    private static final long JOURNAL_BYTES = 8_000_000, EPOCH_MS = 1_800_000_000_000L;

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
            return EPOCH_MS + time.now() / MS;
        }
    }

    private final Place place;
    private final Relay relay;
    private final Shares shares; // null: as the settings told once and for all

    /** {@code remembers}: what it learns outlasts its process; {@code shares}: it is told its part of what all do. */
    ModuleInstance(Place place, MemoryStore store, long seed, boolean remembers, boolean shares) {
        this.place = place;
        Clock clock = new Virtual(place.time());
        try {
            Journal journal = new Journal(store, JOURNAL_BYTES, clock);
            relay = new Relay(Policies.settings(place.plan()), seed, journal, clock, this, words -> {});
        } catch (IOException e) {
            throw new UncheckedIOException(e); // memory does not fail so
        }
        relay.front((byte) 0, this, this);
        if (remembers) {
            relay.handover().remember();
        }
        this.shares = shares ? new Shares(place, relay) : null;
    }

    @Override
    public Answer take(Stream.Message m) {
        return relay.take(m);
    }

    /** The first list brings back what an earlier process left. */
    @Override
    public void hosts(Sender.ListKind kind, List<Sender.Endpoint> list) {
        boolean first = kind == Sender.ListKind.WHOLE;
        relay.hosts(kind, list);
        if (shares != null) {
            shares.hosts(kind, list);
        }
        if (first) {
            relay.recover(() -> 0, () -> {});
        }
    }

    @Override
    public void closing(long end) {
        relay.closing(end);
    }

    @Override
    public void breakers(BiConsumer<Long, Sender.Breaker> each) {
        relay.breakers(each);
    }

    @Override
    public void advise(long destination, double doubt, double trying) {
        relay.advise(destination, doubt, trying);
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
    public boolean late() {
        return false;
    }

    @Override
    public void ended(Stream.Message message, Answer answer) {
        relay.told(message.id());
        place.ended(message, answer);
    }

    @Override
    public UpstreamRequest send(Stream.Message m, String host, long connectBy, long answerBy, Attempt attempt) {
        return place.send(m, host, connectBy, answerBy, attempt);
    }

    @Override
    public void closeIdle(String host) {
        // an emulated connection costs nothing while it is idle
    }
}
