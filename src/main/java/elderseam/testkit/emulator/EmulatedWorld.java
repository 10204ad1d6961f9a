package elderseam.testkit.emulator;

import elderseam.core.ActiveRequest;
import elderseam.core.AttemptListener;
import elderseam.core.EndpointCall;
import elderseam.core.FinalOutcome;
import elderseam.policy.BreakerView;
import elderseam.policy.EndpointStatus;
import elderseam.policy.ListUpdateKind;
import elderseam.policy.ListedEndpoint;
import elderseam.policy.RequestClass;
import elderseam.testkit.emulator.WorldListener.ClientRequest;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import org.apache.commons.rng.UniformRandomProvider;

/** One run of a plan: destinations, network, discovery, the fleet and its restarts; what happens is told to watchers. */
public final class EmulatedWorld {
    static final long MS = 1_000_000;
    static final long S = 1_000 * MS;
    private static final long DRAIN_NS = 5 * S;
    private static final long TERM_NS = 3_300 * MS;
    private static final long CLOSING_NS = 300 * MS;

    /** A dispatcher's place in the fleet; processes come and go there. */
    final class Seat implements EmulatedDispatcher.Place {
        final int number;
        final EmulatedStore store = new EmulatedStore();
        final PartitionView.View view = new PartitionView.View();
        EmulatedDispatcher instance;
        long life;
        boolean up;
        boolean accepting;

        Seat(int number) {
            this.number = number;
        }

        @Override
        public VirtualTime time() {
            return time;
        }

        @Override
        public int number() {
            return number;
        }

        @Override
        public PartitionView.View view() {
            return view;
        }

        @Override
        public Scenario plan() {
            return plan;
        }

        @Override
        public EndpointCall send(
                ActiveRequest.Message m, String endpoint, long connectBy, long answerBy, AttemptListener attempt) {
            long mine = life;
            ClientRequest msg = clients.known(m.id());
            int e = endpoint.indexOf('e');
            EmulatedDestination to =
                    endpoint.startsWith("wrong") ? null : destinations.get(Long.parseLong(endpoint.substring(1, e)));
            int tries = attempts.merge(m.id(), 1, Integer::sum);
            return network.call(
                    number,
                    () -> up && life == mine,
                    msg,
                    tries,
                    to,
                    to == null ? 0 : Integer.parseInt(endpoint.substring(e + 1)),
                    connectBy,
                    answerBy,
                    attempt);
        }

        @Override
        public void ended(ActiveRequest.Message m, FinalOutcome answer) {
            attempts.remove(m.id());
            clients.answered(m.id(), answer);
        }

        @Override
        public EmulatedDestination destination(long id) {
            return destinations.get(id);
        }

        @Override
        public void at(long when, Runnable task) {
            long mine = life;
            time.at(when, () -> {
                if (up && life == mine) {
                    task.run();
                }
            });
        }

        private void start() {
            life++;
            up = true;
            accepting = true;
            instance = maker.make(this, store, seed * 1_000 + number * 31L + life);
            watcher.processChanged(time.now(), number, true);
            seen(this, true);
            instance.hosts(ListUpdateKind.COMPLETE, list());
        }

        private void stop() {
            up = false;
            accepting = false;
            watcher.processChanged(time.now(), number, false);
            seen(this, false);
        }
    }

    final VirtualTime time = new VirtualTime();
    final Scenario plan;
    final long seed;
    final RandomStreams draws;
    final WorldListener watcher;
    final Map<Long, EmulatedDestination> destinations = new LinkedHashMap<>();
    private final Map<String, Integer> attempts = new HashMap<>();
    private final Map<String, ListedEndpoint> listed = new LinkedHashMap<>();
    private final List<Seat> seats = new ArrayList<>();
    private final Policies.Maker maker;
    private final EmulatedNetwork network;
    private final ClientPopulation clients;

    public EmulatedWorld(Scenario plan, String policy, long seed, List<WorldListener> watchers) {
        this(plan, Policies.of(policy), seed, watchers);
    }

    EmulatedWorld(Scenario plan, Policies.Maker maker, long seed, List<WorldListener> watchers) {
        this.plan = plan;
        this.seed = seed;
        this.draws = new RandomStreams(seed);
        this.watcher = watchers.size() == 1 ? watchers.get(0) : new WorldListeners(watchers);
        this.maker = maker;
        this.network = new EmulatedNetwork(time, plan.network(), watcher, seed);
        for (int k = 0; k < plan.kinds().size(); k++) {
            for (int i = 0; i < plan.kinds().get(k).destinations(); i++) {
                EmulatedDestination d = new EmulatedDestination(
                        destinations.size() + 1, plan.kinds().get(k), seed, watcher);
                destinations.put(d.id, d);
                for (String e : d.endpoints) {
                    listed.put(e, new ListedEndpoint(e, d.id, k, 0, EndpointStatus.READY, d.kind.callsPerSecond()));
                }
                if (draws.of("wrong").nextDouble() < plan.discovery().wrongShare()) {
                    listed.put(
                            "wrong" + d.id,
                            new ListedEndpoint(
                                    "wrong" + d.id, d.id, k, 0, EndpointStatus.READY, d.kind.callsPerSecond()));
                }
            }
        }
        this.clients = new ClientPopulation(this);
        for (int i = 0; i < plan.fleet().dispatchers(); i++) {
            seats.add(new Seat(i));
        }
    }

    /** Plays it; {@code progress} is told the seconds done, every now and then. */
    public void run(java.util.function.DoubleConsumer progress) {
        troubles();
        drains();
        restarts();
        seats.forEach(Seat::start);
        clients.begin();
        long end = (long) (plan.seconds() * S)
                + Policies.CLASSES.stream()
                        .mapToLong(RequestClass::deadlineNs)
                        .max()
                        .orElse(0)
                + 2 * S;
        for (long step = end / 100 + 1; time.now() < end; ) {
            time.pass(Math.min(step, end - time.now()));
            progress.accept(time.now() / (double) S);
        }
        clients.over();
    }

    public VirtualTime time() {
        return time;
    }

    /** How each dispatcher's breakers stand now. */
    public void breakers(BiConsumer<Long, BreakerView> each) {
        seats.stream().filter(s -> s.up).forEach(s -> s.instance.breakers(each));
    }

    /** Each of the others sees it in its own time. */
    private void seen(Seat of, boolean up) {
        UniformRandomProvider r = draws.of("seen " + of.number + " " + of.life);
        for (Seat s : seats) {
            if (s != of) {
                double after = time.now() == 0 ? 0 : up ? 0.5 + r.nextDouble() : 5 + 3 * r.nextDouble();
                s.view.changes(time, of.number, up, time.now() + (long) (after * S));
            }
        }
    }

    // ---------------------------------------------------------------- the front layer

    /** A dispatcher that takes clients on, or null. */
    Seat any(UniformRandomProvider r) {
        double hot = plan.fleet().hotFactor();
        int from = hot > 1 && r.nextDouble() * (seats.size() - 1 + hot) < hot - 1 ? 0 : r.nextInt(seats.size());
        for (int i = 0; i < seats.size(); i++) {
            Seat s = seats.get((from + i) % seats.size());
            if (s.accepting) {
                return s;
            }
        }
        return null;
    }

    // ---------------------------------------------------------------- what is done to it

    private List<EmulatedDestination> part(String kind, double part, String name) {
        List<EmulatedDestination> of = shuffled(
                destinations.values().stream()
                        .filter(d -> d.kind.name().equals(kind))
                        .toList(),
                "part " + name);
        return of.subList(0, (int) Math.min(of.size(), Math.max(1, Math.round(part * of.size()))));
    }

    /** In an order of that stream's (Durstenfeld 1964). */
    private <T> List<T> shuffled(List<T> of, String stream) {
        List<T> all = new ArrayList<>(of);
        UniformRandomProvider r = draws.of(stream);
        for (int i = all.size() - 1; i > 0; i--) {
            Collections.swap(all, i, r.nextInt(i + 1));
        }
        return all;
    }

    private void troubles() {
        for (Scenario.Trouble t : plan.troubles()) {
            long from = (long) (t.start() * S);
            long to = (long) (t.end() * S);
            for (EmulatedDestination d : part(t.kind(), t.share(), t.name())) {
                d.addTrouble(from, to, t.fault(), t.slowdown());
                time.at(from, () -> watcher.troubleChanged(time.now(), d.id, true));
                time.at(to, () -> {
                    if (t.fault() != Scenario.Fault.SLOW) {
                        d.startWarmingUp(to);
                    }
                    watcher.troubleChanged(time.now(), d.id, false);
                });
            }
        }
    }

    private void drains() {
        for (Scenario.Drain drain : plan.drains()) {
            for (EmulatedDestination d : part(drain.kind(), drain.share(), drain.name())) {
                String e = d.endpoints[0];
                time.at((long) (drain.start() * S), () -> listing(e, EndpointStatus.DRAINING));
                time.at((long) (drain.start() * S) + DRAIN_NS, () -> listing(e, EndpointStatus.GONE));
            }
        }
    }

    private void listing(String endpoint, EndpointStatus listing) {
        ListedEndpoint e = listed.get(endpoint);
        if (e == null) {
            return;
        }
        ListedEndpoint now = new ListedEndpoint(e.address(), e.destination(), e.kind(), e.zone(), listing, e.weight());
        if (listing == EndpointStatus.GONE) {
            listed.remove(endpoint);
        } else {
            listed.put(endpoint, now);
        }
        for (Seat s : seats) {
            long at = time.now() + (long) (plan.discovery().delayMs() * MS);
            long downFrom = (long) (plan.discovery().downStart() * S);
            long downTo = downFrom + (long) (plan.discovery().downDuration() * S);
            time.at(at >= downFrom && at < downTo ? downTo : at, () -> {
                if (s.up) {
                    s.instance.hosts(ListUpdateKind.CHANGES, List.of(now));
                    if (listing != EndpointStatus.READY) {
                        watcher.drainReceived(time.now(), s.number, endpoint);
                    }
                }
            });
        }
    }

    private List<ListedEndpoint> list() {
        return List.copyOf(listed.values());
    }

    private void restarts() {
        for (Scenario.Restart r : plan.restarts()) {
            List<Seat> order = shuffled(seats, "restart " + r.name());
            int n = (int) Math.max(1, Math.round(r.share() * order.size()));
            for (int i = 0; i < n; i++) {
                Seat s = order.get(i);
                long at = (long) ((r.start() + (n == 1 ? 0 : r.within() * i / (n - 1))) * S);
                long down = (long) (r.downMs() * MS);
                time.at(at, () -> {
                    if (!s.up) {
                        return;
                    }
                    if (r.how() == Scenario.How.KILL) {
                        s.stop();
                        time.at(time.now() + down, s::start);
                    } else {
                        s.instance.closing(time.now() + TERM_NS);
                        time.at(time.now() + CLOSING_NS, () -> s.accepting = false);
                        time.at(time.now() + TERM_NS, () -> {
                            s.stop();
                            time.at(time.now() + down, s::start);
                        });
                    }
                });
            }
        }
    }
}
