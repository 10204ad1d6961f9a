package elderseam.core;

import elderseam.core.EndpointCall.End;
import elderseam.core.EndpointCall.Progress;
import elderseam.core.EndpointCall.Status;
import elderseam.policy.PolicySettings;
import java.util.HashMap;
import java.util.Map;

/** The attempts of a relay's streams: each is begun once the journal knows of it, and counted while it is out. */
final class AttemptTracker {
    private final RequestDispatcher relay;
    private final PolicySettings settings;
    private final PolicyFacade facade;
    private final Journal journal;
    private final Clock clock;
    private final EventLoop loop;
    private final Metrics figures;
    private final Map<Byte, AttemptSender> upstreams = new HashMap<>();
    private Map<Long, int[]> outs; // calls out by destination, where anybody asks
    private int out;

    AttemptTracker(
            RequestDispatcher relay,
            PolicySettings settings,
            PolicyFacade facade,
            Journal journal,
            Clock clock,
            EventLoop loop,
            Metrics figures) {
        this.relay = relay;
        this.settings = settings;
        this.facade = facade;
        this.journal = journal;
        this.clock = clock;
        this.loop = loop;
        this.figures = figures;
    }

    /** Who carries what that front took on. */
    void upstream(byte front, AttemptSender upstream) {
        upstreams.put(front, upstream);
    }

    void closeIdle(String host) {
        upstreams.values().forEach(u -> u.closeIdle(host));
    }

    /** From now on the calls out are counted by destination too. */
    void countOut() {
        outs = outs == null ? new HashMap<>() : outs;
    }

    int out() {
        return out;
    }

    /** Calls out to a destination, where they are counted. */
    int out(long destination) {
        int[] n = outs == null ? null : outs.get(destination);
        return n == null ? 0 : n[0];
    }

    private void out(long destination, int more) {
        out += more;
        if (outs != null) {
            int[] n = outs.computeIfAbsent(destination, d -> new int[1]);
            n[0] = Math.max(0, n[0] + more); // those that were out before the counting began
            if (n[0] == 0) {
                outs.remove(destination);
            }
        }
    }

    /** The journal knows of the attempt before its first byte can leave. */
    void send(ActiveRequest s, String host, long answerBy) {
        long start = clock.now(), left = s.message.deadline() - start;
        Leg leg = out(s, s.attempts++, host, start);
        long by = Math.min(
                answerBy, s.message.deadline() - Math.min(RequestDispatcher.TELLING_NS, Math.max(0, left / 2)));
        if (journal.sent(s.id())) {
            s.out = upstreams
                    .get(s.message.front())
                    .send(
                            s.message,
                            host,
                            Math.min(by, start + settings.connections().timeoutNs()),
                            by,
                            leg);
        } else { // unrecorded, it must not leave; held back here, it tells the module nothing of the host
            loop.at(start, () -> leg.ended(End.unanswered(Progress.NOT_CONNECTED, Status.HELD)));
        }
    }

    /** That attempt of a stream is out, here or at another process. */
    Leg out(ActiveRequest s, int number, String host, long start) {
        out(s.message.destination(), 1);
        s.leg = new Leg(s, number, host, start);
        return s.leg;
    }

    /** Stops waiting for an attempt, if it is the one that is out. */
    static void abandon(ActiveRequest s, int number) {
        if (s != null && s.out != null && s.attempts - 1 == number) {
            s.out.abandon();
        }
    }

    /** One attempt, as its upstream knows it. Once the work is another process's, that one is told what is heard of it. */
    final class Leg implements AttemptListener {
        private final ActiveRequest stream;
        final int number;
        final String host;
        final long start;

        private Leg(ActiveRequest stream, int number, String host, long start) {
            this.stream = stream;
            this.number = number;
            this.host = host;
            this.start = start;
        }

        @Override
        public boolean mayLeave() {
            return !relay.handover().passedOn() && facade.mayCall(clock.now(), stream.id(), host);
        }

        @Override
        public void written() {
            figures.called(stream.message.cls());
        }

        @Override
        public void ended(End end) {
            stream.out = null;
            out(stream.message.destination(), -1);
            if (relay.handover().tell(stream, this, false, end)) {
                return;
            }
            journal.result(stream.id(), end.mayHaveRun());
            stream.mayHaveRun |= end.mayHaveRun();
            facade.report(clock.now(), stream.id(), number, host, start, end);
            if (over(end)) {
                relay.end(stream, answer(end));
            }
            relay.answered();
        }

        /** The delivery of one that is out again, or has its end, does not count a second time. */
        @Override
        public void answeredLate(End end) {
            if (relay.handover().tell(stream, this, true, end)) {
                return;
            }
            facade.reportLate(clock.now(), host, end);
            if (over(end) && stream.out == null && relay.stream(stream.id()) == stream) {
                facade.delivered(clock.now(), stream.id());
                relay.end(stream, answer(end));
            }
            relay.answered();
        }

        private static boolean over(End end) {
            return end.status() == Status.DELIVERED || end.status() == Status.OVER;
        }

        private static FinalOutcome answer(End end) {
            return end.status() == Status.OVER ? FinalOutcome.OVER : FinalOutcome.DELIVERED;
        }
    }
}
