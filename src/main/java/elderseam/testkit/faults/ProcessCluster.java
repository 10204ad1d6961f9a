package elderseam.testkit.faults;

import elderseam.fleet.selftest.FaultTestHistory;
import elderseam.testkit.LogLine;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.UnaryOperator;

/** The processes of one test with the stand-ins round them, and what can be done to them. One thread uses it. */
final class ProcessCluster implements Closeable {
    static final String LEASE = "rehearsal";
    static final String STORE = "store";
    private static final AtomicInteger CLUSTERS = new AtomicInteger();
    private static final int PORT = 9_000;

    /**
     * What of the program is on: the leases at all, further lines of a member's [fleet] by its name, acts on the store, whether that has its fence,
     * and by which rule a lease on gossip alone is held ("lowest" or "majority"; "": no gossip).
     */
    record Setup(boolean leases, UnaryOperator<String> lines, boolean acts, boolean fenced, String gossip) {
        static final Setup USUAL = new Setup(true, "", true, true);
        static final Setup OFF = new Setup(false, "", false, true);

        Setup(boolean leases, String lines, boolean acts, boolean fenced) {
            this(leases, name -> lines, acts, fenced, "");
        }

        static Setup gossip(String rule) {
            return new Setup(false, name -> "", false, true, rule);
        }

        /** Members that gossip, with these further sections. */
        static Setup gossiping(String sections) {
            return new Setup(false, name -> sections, false, true, "off");
        }
    }

    private final FaultSchedule plan;
    private final Path folder;
    private final Setup setup;
    private final LinkTable network = new LinkTable();
    private final ExternalServices outside;
    private final FencedStore store;
    private final FaultTestHistory history;
    private final FaultProxy toStore;
    private final String place; // a loopback address of this cluster's own: no port of it is another's
    private final Map<String, ClusterMember> members = new LinkedHashMap<>();
    private final Map<String, FaultProxy> proxies = new LinkedHashMap<>();
    private final GossipAddresses gossips;
    private final Map<String, Long> pids = new ConcurrentHashMap<>();
    private final Map<String, Long> stalled = new LinkedHashMap<>(); // until when, of the machine's clock
    private final List<String> group = new ArrayList<>(); // who is in the lease group
    private volatile String leader = "";
    private volatile String holder = "";
    private volatile FencedStore.Effect newest;
    private final Map<String, List<LogLine>> logged = new LinkedHashMap<>(); // by member; guarded by itself
    private int named;
    private final Queue<Process> started = new ConcurrentLinkedQueue<>();
    private final Thread ends = new Thread(() -> started.forEach(Process::destroyForcibly), "ends");

    /** Starts the members and waits until each is ready. */
    ProcessCluster(FaultSchedule plan, Path folder, Setup setup) throws IOException {
        this(plan, folder, setup, 1);
    }

    /** {@code endpoints}: how many the partner of the first destination has. */
    ProcessCluster(FaultSchedule plan, Path folder, Setup setup, int endpoints) throws IOException {
        this.outside = new ExternalServices(plan.members(), endpoints);
        this.plan = plan;
        this.folder = Files.createDirectories(folder);
        this.setup = setup;
        int n = CLUSTERS.getAndIncrement();
        long pid = ProcessHandle.current().pid();
        place = "127." + (100 + n % 100) + "." + pid / 250 % 250 + "." + (1 + pid % 250);
        gossips = new GossipAddresses(network, folder, place, () -> pids);
        history = new FaultTestHistory(folder.resolve("rig.jsonl"), "rig");
        store = new FencedStore(history, setup.fenced(), this::effect);
        toStore = new FaultProxy(network, STORE, store.address(), () -> pids);
        Runtime.getRuntime().addShutdownHook(ends); // an interrupted test leaves no process behind
        try {
            begin();
        } catch (IOException e) {
            close();
            throw e;
        }
    }

    private void begin() throws IOException {
        for (int i = 0; i < plan.members(); i++) {
            prepare();
        }
        group.addAll(members.keySet());
        if (!setup.gossip().isEmpty()) {
            gossips.roster();
        }
        for (ClusterMember m : members.values()) {
            configure(m.name);
            start(m);
        }
        for (ClusterMember m : members.values()) {
            m.ready();
        }
    }

    private void effect(FencedStore.Effect e) {
        synchronized (store) {
            if (e.admitted()) {
                newest = e;
                holder = e.holder().substring(0, e.holder().indexOf('/'));
            }
            store.notifyAll();
        }
    }

    /** A further member, which is not started yet. */
    private ClusterMember prepare() throws IOException {
        String name = "n" + ++named;
        Path own = Files.createDirectories(folder.resolve(name));
        Files.createDirectories(own.resolve("state"));
        Files.writeString(own.resolve("config.json"), outside.config(named));
        proxies.put(name, new FaultProxy(network, name, new InetSocketAddress(place, PORT + named), () -> pids));
        if (!setup.gossip().isEmpty()) {
            gossips.add(name, named);
        }
        ClusterMember m = new ClusterMember(
                name,
                own,
                Map.of(
                        "RELAY_NAME",
                        name,
                        "RELAY_LISTEN",
                        "127.0.0.1:0",
                        "RELAY_CONTROL",
                        "127.0.0.1:0",
                        "RELAY_DISCOVERY",
                        outside.address(),
                        "RELAY_STATE",
                        own.resolve("state").toString(),
                        "RELAY_CONFIG",
                        own.resolve("config.json").toString()),
                line -> logged(name, line));
        members.put(name, m);
        return m;
    }

    private void logged(String name, LogLine line) {
        synchronized (logged) {
            logged.computeIfAbsent(name, n -> new ArrayList<>()).add(line);
            logged.notifyAll();
        }
        if (line.is("lease.leader_changed")) {
            leader = line.field("leader");
        }
    }

    private String address(String name) {
        return "127.0.0.1:" + proxies.get(name).address().getPort();
    }

    private void configure(String name) throws IOException {
        int number = Integer.parseInt(name.substring(1));
        String peers =
                String.join(" ", group.stream().map(g -> g + "=" + address(g)).toList());
        Files.writeString(
                folder.resolve(name).resolve("elderseam.ini"),
                !setup.gossip().isEmpty()
                        ? gossip(name)
                        : !setup.leases()
                                ? "# all off\n"
                                : "[fleet]\nlisten = " + place + ":" + (PORT + number)
                                        + "\nname = " + name + "\nmembers = " + peers
                                        + (setup.acts() ? "\nleases = " + LEASE : "") + "\nttl_ms = " + plan.ttlMs()
                                        + "\ndrift_percent = "
                                        + plan.driftPercent() + "\nelection_ms = " + plan.electionMs() + "\n"
                                        + lines(
                                                name,
                                                "[rehearsal]\nhistory = "
                                                        + folder.resolve(name + ".jsonl")
                                                        + (setup.acts()
                                                                ? "\nstore = 127.0.0.1:"
                                                                        + toStore.address()
                                                                                .getPort()
                                                                : "")
                                                        + "\nact_ms = 20\nclock_percent = "
                                                        + plan.clocks().getOrDefault(name, 100) + "\n"));
    }

    /** The setup's lines, and those of a rehearsal; where the setup has some of that section itself, they stand together. */
    private String lines(String name, String rehearsal) {
        String own = setup.lines().apply(name);
        return own.contains("[rehearsal]\n") ? own.replace("[rehearsal]\n", rehearsal) : own + rehearsal;
    }

    private String gossip(String name) {
        return gossips.settings(name) + "[rehearsal]\nhistory = " + folder.resolve(name + ".jsonl")
                + "\ngossip_lease = " + setup.gossip() + "\n" + setup.lines().apply(name);
    }

    private void start(ClusterMember m) throws IOException {
        started.add(m.start());
        pids.put(m.name, m.pid());
        history.event("started").with("member", m.name).with("pid", m.pid()).append();
    }

    // ---------------------------------------------------------------- faults

    /** The member of a role, as far as it is known and alive; any that lives where it is not. */
    private String who(String role) {
        String name = switch (role) {
            case "holder" -> holder;
            case "leader" -> leader;
            case "other" ->
                group.stream()
                        .filter(g -> !g.equals(holder)
                                && !g.equals(leader)
                                && members.get(g).alive())
                        .findFirst()
                        .orElse("");
            default -> role;
        };
        return members.containsKey(name) ? name : group.get(0);
    }

    void befall(FaultInjection f) throws IOException {
        List<String> whom = f.words().stream()
                .filter(w -> !w.matches("\\d+|all"))
                .map(this::who)
                .distinct()
                .toList();
        history.event("fault")
                .with("verb", f.verb())
                .with("words", String.join(" ", f.words()))
                .with("whom", String.join(" ", whom))
                .append();
        long ms = f.words().stream()
                .filter(w -> w.matches("\\d+"))
                .mapToLong(Long::parseLong)
                .findFirst()
                .orElse(0);
        switch (f.verb()) {
            case "isolate" -> cut(whom.get(0), true, true);
            case "mute" -> cut(whom.get(0), true, false);
            case "deafen" -> cut(whom.get(0), false, true);
            case "partition" -> {
                for (String a : whom) {
                    members.keySet().stream().filter(b -> !whom.contains(b)).forEach(b -> {
                        network.cut(a, b);
                        network.cut(b, a);
                    });
                }
            }
            case "delay" -> network.delay(ms);
            case "lose" -> network.lose(ms); // percent
            case "reset" -> {
                proxies.values().forEach(FaultProxy::reset);
                gossips.reset();
                toStore.reset();
            }
            case "stall" -> {
                if (members.get(whom.get(0)).alive()) {
                    members.get(whom.get(0)).stall();
                    history.event("stopped").with("member", whom.get(0)).append();
                    stalled.put(whom.get(0), System.nanoTime() + ms * 1_000_000);
                }
            }
            case "crash" -> {
                for (String name : f.words().contains("all") ? List.copyOf(group) : whom) {
                    kill(name);
                }
            }
            case "end" -> {
                ClusterMember m = members.get(whom.get(0));
                if (m.alive()) {
                    if (stalled.remove(m.name) != null) {
                        m.resume(); // a stopped process hears no SIGTERM, and its end would be waited for without end
                    }
                    history.event("ending").with("member", m.name).append();
                    m.end();
                    history.event("killed").with("member", m.name).append();
                }
            }
            case "restart" -> restart();
            default -> replace(whom.get(0));
        }
    }

    private void cut(String name, boolean sends, boolean hears) {
        List<String> others = new ArrayList<>(members.keySet());
        others.add(STORE);
        others.remove(name);
        for (String other : others) {
            if (sends) {
                network.cut(name, other);
            }
            if (hears) {
                network.cut(other, name);
            }
        }
    }

    private void kill(String name) throws IOException {
        ClusterMember m = members.get(name);
        if (m.alive()) {
            stalled.remove(name);
            m.kill();
            history.event("killed")
                    .with("member", name)
                    .append(); // after it is gone: it believed to hold no later than this
        }
    }

    private void restart() throws IOException {
        List<ClusterMember> back =
                group.stream().map(members::get).filter(m -> !m.alive()).toList();
        for (ClusterMember m : back) {
            start(m);
        }
        for (ClusterMember m : back) {
            m.ready();
        }
    }

    /** Takes a new member in for one, at a member that lives, and kills the old one once the group has agreed. */
    void replace(String old) throws IOException {
        ClusterMember fresh = prepare();
        configure(fresh.name); // the group as it stands, without itself: it joins
        start(fresh);
        fresh.ready();
        List<String> wanted = new ArrayList<>(group);
        wanted.remove(old);
        wanted.add(fresh.name);
        ClusterMember through = members.get(wanted.get(0));
        String call = "FLEET "
                + String.join(
                        " ", wanted.stream().map(g -> g + "=" + address(g)).toList());
        String agreed = "members=" + String.join(" ", wanted.stream().sorted().toList()) + "\n";
        history.event("members").with("wanted", String.join(" ", wanted)).append();
        long by = System.nanoTime() + 30_000_000_000L;
        through.told(call);
        while (!through.told("FLEET").contains(agreed)) {
            if (System.nanoTime() > by) {
                throw new IOException("the group did not agree on " + wanted + ": " + through.told("FLEET"));
            }
            pause(50); // the group's own word is asked for again; nothing tells of it unasked
        }
        group.clear();
        group.addAll(wanted);
        kill(old);
    }

    /** Lets stalled members go whose time is up; when the next one's is, of the machine's clock. */
    long resume(long now) throws IOException {
        for (String name : List.copyOf(stalled.keySet())) {
            if (stalled.get(name) <= now) {
                stalled.remove(name);
                members.get(name).resume();
                history.event("resumed").with("member", name).append();
            }
        }
        return stalled.values().stream().mapToLong(t -> t).min().orElse(Long.MAX_VALUE);
    }

    /** Ends every fault: stalled members go on, links are whole, what was crashed starts again; returns once all are ready. */
    void heal(boolean links) throws IOException {
        resume(Long.MAX_VALUE);
        if (links) {
            network.heal();
        }
        restart();
        history.event("healed").append();
    }

    // ---------------------------------------------------------------- what is seen

    /** Waits until an act takes effect that came after this call; false where none does by {@code byNs}. */
    @SuppressWarnings("ReferenceEquality") // two acts may be equal, and are two all the same
    boolean acted(long byNs) throws IOException {
        synchronized (store) {
            FencedStore.Effect before = newest;
            while (newest == before) {
                long left = (byNs - System.nanoTime()) / 1_000_000;
                if (left <= 0) {
                    return false;
                }
                pauseOn(store, left);
            }
            return true;
        }
    }

    /** Waits until a member writes of a lease that it was granted from now on; false where it does not by {@code byNs}. */
    boolean granted(String name, long byNs) throws IOException {
        Path lines = folder.resolve(name + ".jsonl");
        long from = Files.exists(lines) ? Files.size(lines) : 0;
        while (!Files.exists(lines)
                || !Files.readString(lines).substring((int) from).contains("\"granted\"")) {
            if (System.nanoTime() > byNs) {
                return false;
            }
            pause(50); // a file tells nobody that it has grown
        }
        return true;
    }

    Path folder() {
        return folder;
    }

    /** Who leads, by the last word of any member. */
    String leader() {
        return leader;
    }

    /**
     * Waits until so many living members' last event of those whose names begin with {@code prefix} is {@code text}, its name
     * and fields; false where it is not by {@code byNs}.
     */
    boolean awaitLogged(String prefix, String text, long count, long byNs) throws IOException {
        synchronized (logged) {
            while (lastLogged(prefix, text).size() < count) {
                long left = (byNs - System.nanoTime()) / 1_000_000;
                if (left <= 0) {
                    return false;
                }
                pauseOn(logged, left);
            }
            return true;
        }
    }

    /** Whose last such event that is. */
    List<String> lastLogged(String prefix, String text) {
        synchronized (logged) {
            return group.stream()
                    .filter(g -> members.get(g).alive())
                    .filter(g -> logged.getOrDefault(g, List.of()).stream()
                            .filter(line -> line.event().startsWith(prefix))
                            .reduce((earlier, later) -> later)
                            .map(LogLine::text)
                            .orElse("")
                            .equals(text))
                    .toList();
        }
    }

    @SuppressWarnings("WaitNotInLoop") // its callers loop until what they wait for holds
    private static void pauseOn(Object lock, long ms) throws IOException {
        try {
            lock.wait(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        }
    }

    static void pause(long ms) throws IOException {
        try {
            Thread.sleep(Math.max(0, ms));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        }
    }

    FaultTestHistory history() {
        return history;
    }

    ExternalServices outside() {
        return outside;
    }

    List<String> group() {
        return List.copyOf(group);
    }

    ClusterMember member(String name) {
        return members.get(name);
    }

    /** Every process's lines and the rig's own, for the checkers. */
    List<Path> histories() throws IOException {
        try (var files = Files.list(folder)) {
            return files.filter(f -> f.toString().endsWith(".jsonl")).sorted().toList();
        }
    }

    @Override
    public void close() throws IOException {
        try {
            Runtime.getRuntime().removeShutdownHook(ends);
        } catch (IllegalStateException e) {
            // the process ends already, and the hook runs
        }
        for (ClusterMember m : members.values()) {
            if (m.alive()) {
                m.kill();
            }
        }
        network.heal();
        for (FaultProxy p : proxies.values()) {
            p.close();
        }
        gossips.close();
        toStore.close();
        store.close();
        history.close();
    }
}
