package elderseam.testkit.faults;

import elderseam.fleet.selftest.FaultTestHistory;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Real processes of the program on loopback, with proxies on the links between them and stand-ins for all that is outside.
 * One thread uses it; what the processes log and do to the store arrives on other threads.
 */
final class ProcessCluster implements Closeable {
    /** The store's name as a party of links. */
    static final String STORE = "store";

    private static final AtomicInteger CLUSTERS = new AtomicInteger();
    private static final int FIRST_PORT = 9_000;
    private static final long MEMBERSHIP_TIMEOUT_NS = 30_000 * Waits.NANOS_PER_MS;
    private static final long POLL_MS = 50;

    private final FaultSchedule schedule;
    private final Path folder;
    private final ClusterSetup setup;
    private final LinkTable links = new LinkTable();
    private final ExternalServices services;
    private final FencedStore store;
    private final FaultProxy storeProxy;
    private final StoreActs acts = new StoreActs();
    private final FaultTestHistory history;
    private final FaultInjector injector;
    private final String loopback; // an address of this cluster's own: no port of it is another's
    private final MemberSettings settings;
    private final MemberLogs logs = new MemberLogs();
    private final GossipAddresses gossip;
    private final Map<String, ClusterMember> members = new LinkedHashMap<>();
    private final Map<String, FaultProxy> proxies = new LinkedHashMap<>();
    private final Map<String, Long> pids = new ConcurrentHashMap<>();
    private final List<String> group = new ArrayList<>(); // the members of the lease group
    private int membersCreated;
    private final Queue<Process> started = new ConcurrentLinkedQueue<>();
    private final Thread shutdownHook = new Thread(() -> started.forEach(Process::destroyForcibly), "ends");

    /** Starts the members and waits until each serves; the partner of the first destination has one endpoint. */
    ProcessCluster(FaultSchedule schedule, Path folder, ClusterSetup setup) throws IOException {
        this(schedule, folder, setup, 1);
    }

    /**
     * Starts the members and waits until each serves.
     *
     * @param endpoints how many the partner of the first destination has
     */
    ProcessCluster(FaultSchedule schedule, Path folder, ClusterSetup setup, int endpoints) throws IOException {
        this.services = new ExternalServices(schedule.members(), endpoints);
        this.schedule = schedule;
        this.folder = Files.createDirectories(folder);
        this.setup = setup;
        loopback = ownLoopbackAddress();
        gossip = new GossipAddresses(links, folder, loopback, () -> pids);
        history = new FaultTestHistory(folder.resolve("rig.jsonl"), "rig");
        injector = new FaultInjector(this, links, history);
        store = new FencedStore(history, setup.storeFenced(), acts::add);
        storeProxy = new FaultProxy(links, STORE, store.address(), () -> pids);
        settings = new MemberSettings(
                schedule, folder, setup, gossip, storeProxy.address().getPort());
        Runtime.getRuntime().addShutdownHook(shutdownHook); // an interrupted test leaves no process behind
        try {
            startAll();
        } catch (IOException e) {
            close();
            throw e;
        }
    }

    /** An address in 127.0.0.0/8 by this process's id and the number of its clusters so far. */
    private static String ownLoopbackAddress() {
        int number = CLUSTERS.getAndIncrement();
        long pid = ProcessHandle.current().pid();
        return "127." + (100 + number % 100) + "." + pid / 250 % 250 + "." + (1 + pid % 250);
    }

    private void startAll() throws IOException {
        for (int i = 0; i < schedule.members(); i++) {
            createMember();
        }
        group.addAll(members.keySet());
        if (setup.gossips()) {
            gossip.writeRoster();
        }
        for (ClusterMember member : members.values()) {
            writeSettings(member);
            start(member);
        }
        for (ClusterMember member : members.values()) {
            member.ready();
        }
    }

    /** A further member, which is not started yet. */
    private ClusterMember createMember() throws IOException {
        int number = ++membersCreated;
        String name = "n" + number;
        Path memberFolder = Files.createDirectories(folder.resolve(name));
        Path state = Files.createDirectories(memberFolder.resolve("state"));
        Path config = Files.writeString(memberFolder.resolve("config.json"), services.config(number));
        InetSocketAddress listen = listenAddress(number);
        proxies.put(name, new FaultProxy(links, name, listen, () -> pids));
        if (setup.gossips()) {
            gossip.add(name, number);
        }
        Map<String, String> variables = Map.of(
                "RELAY_NAME",
                name,
                "RELAY_LISTEN",
                "127.0.0.1:0",
                "RELAY_CONTROL",
                "127.0.0.1:0",
                "RELAY_DISCOVERY",
                services.address(),
                "RELAY_STATE",
                state.toString(),
                "RELAY_CONFIG",
                config.toString());
        ClusterMember member = new ClusterMember(name, memberFolder, variables, event -> logs.add(name, event));
        members.put(name, member);
        return member;
    }

    /** Where the lease group's engine of a member listens; others reach it through its proxy. */
    private InetSocketAddress listenAddress(int memberNumber) {
        return new InetSocketAddress(loopback, FIRST_PORT + memberNumber);
    }

    private void writeSettings(ClusterMember member) throws IOException {
        int number = Integer.parseInt(member.name.substring(1));
        settings.write(member.name, listenAddress(number), peers(group));
    }

    /** These members with the addresses of their proxies, as the program's settings and its FLEET command take them. */
    private String peers(List<String> names) {
        return String.join(
                " ",
                names.stream()
                        .map(name -> name + "=127.0.0.1:"
                                + proxies.get(name).address().getPort())
                        .toList());
    }

    private void start(ClusterMember member) throws IOException {
        started.add(member.start());
        pids.put(member.name, member.pid());
        history.event("started")
                .with("member", member.name)
                .with("pid", member.pid())
                .append();
    }

    // ---------------------------------------------------------------- faults

    /** Carries out one fault. */
    void inject(FaultInjection fault) throws IOException {
        injector.inject(fault);
    }

    /** Lets stalled members go on whose time is up at {@code nowNs}; when the next one's is, Long.MAX_VALUE where none is stalled. */
    long resumeDue(long nowNs) throws IOException {
        return injector.resumeDue(nowNs);
    }

    /** Ends every fault, those of links only where {@code healLinks}; returns once all members serve. */
    void heal(boolean healLinks) throws IOException {
        injector.heal(healLinks);
    }

    /** Resets every connection between members and to the store. */
    void resetConnections() {
        proxies.values().forEach(FaultProxy::reset);
        gossip.reset();
        storeProxy.reset();
    }

    /** Starts the group's members that do not run, on their folders; returns once they serve. */
    void startStoppedMembers() throws IOException {
        List<ClusterMember> stopped = group.stream()
                .map(members::get)
                .filter(member -> !member.alive())
                .toList();
        for (ClusterMember member : stopped) {
            start(member);
        }
        for (ClusterMember member : stopped) {
            member.ready();
        }
    }

    /** Starts a new member and has the lease group take it in for {@code old}, which goes on running. */
    void admitInPlaceOf(String old) throws IOException {
        ClusterMember added = createMember();
        writeSettings(added); // with the group as it is: the new member is no part of it yet
        start(added);
        added.ready();
        List<String> wanted = new ArrayList<>(group);
        wanted.remove(old);
        wanted.add(added.name);
        changeGroup(wanted);
        group.clear();
        group.addAll(wanted);
    }

    /** Asks the first of {@code wanted} for this lease group, and waits until the group has agreed. */
    private void changeGroup(List<String> wanted) throws IOException {
        ClusterMember asked = members.get(wanted.get(0));
        String command = "FLEET " + peers(wanted);
        String agreed = "members=" + String.join(" ", wanted.stream().sorted().toList()) + "\n";
        history.event("members").with("wanted", String.join(" ", wanted)).append();
        long deadlineNs = System.nanoTime() + MEMBERSHIP_TIMEOUT_NS;
        asked.ask(command);
        while (!asked.ask("FLEET").contains(agreed)) {
            if (System.nanoTime() > deadlineNs) {
                throw new IOException("the group did not agree on " + wanted + ": " + asked.ask("FLEET"));
            }
            Waits.sleep(POLL_MS); // the control address reports no change by itself
        }
    }

    // ---------------------------------------------------------------- observation

    /** Waits until an act takes effect on the store that comes after this call; false where none does by {@code deadlineNs}. */
    boolean awaitAct(long deadlineNs) throws IOException {
        return acts.awaitNext(deadlineNs);
    }

    /** Waits until a member's history has a grant after this call; false where it has none by {@code deadlineNs}. */
    boolean awaitGrant(String member, long deadlineNs) throws IOException {
        Path file = settings.historyFile(member);
        long from = Files.exists(file) ? Files.size(file) : 0;
        while (!Files.exists(file)
                || !Files.readString(file).substring((int) from).contains("\"granted\"")) {
            if (System.nanoTime() > deadlineNs) {
                return false;
            }
            Waits.sleep(POLL_MS); // a file that grows notifies nobody
        }
        return true;
    }

    /**
     * Waits until the last event whose name begins with {@code prefix} is {@code text}, its name and fields, at {@code count}
     * living members at least; false where it is not by {@code deadlineNs}.
     */
    boolean awaitLastEvent(String prefix, String text, long count, long deadlineNs) throws IOException {
        synchronized (logs) {
            while (membersWithLastEvent(prefix, text).size() < count) {
                if (!logs.awaitEvent(deadlineNs)) {
                    return false;
                }
            }
            return true;
        }
    }

    /** The living members whose last event of a name that begins with {@code prefix} is {@code text}, its name and fields. */
    List<String> membersWithLastEvent(String prefix, String text) {
        synchronized (logs) {
            return livingMembers().stream()
                    .filter(name -> logs.isLastEvent(name, prefix, text))
                    .toList();
        }
    }

    /** How many events of that name a member has logged. */
    long eventCount(String member, String name) {
        return logs.count(member, name);
    }

    /** The folder with the members' folders, their settings and the history. */
    Path folder() {
        return folder;
    }

    /** Who leads the lease group, by the last event of any member; "" before the first. */
    String leader() {
        return logs.leader();
    }

    /** The member that acted on the store last; "" before the first act. */
    String holder() {
        return acts.holder();
    }

    /** The test's own part of the history. */
    FaultTestHistory history() {
        return history;
    }

    /** The stand-ins for discovery, the partner and the clients. */
    ExternalServices services() {
        return services;
    }

    /** The names of the lease group's members. */
    List<String> group() {
        return List.copyOf(group);
    }

    /** Those of the group whose processes run. */
    List<String> livingMembers() {
        return group.stream().filter(name -> members.get(name).alive()).toList();
    }

    /** All members by name, those included that were replaced. */
    Map<String, ClusterMember> members() {
        return Collections.unmodifiableMap(members);
    }

    /** A member by its name; null where there is none. */
    ClusterMember member(String name) {
        return members.get(name);
    }

    /** The files of the history, the members' parts and the test's own, for the checkers. */
    List<Path> histories() throws IOException {
        try (var files = Files.list(folder)) {
            return files.filter(file -> file.toString().endsWith(".jsonl"))
                    .sorted()
                    .toList();
        }
    }

    /** Kills the members and closes the proxies, the store and the history; the stand-ins' loop goes on until the process ends. */
    @Override
    public void close() throws IOException {
        try {
            Runtime.getRuntime().removeShutdownHook(shutdownHook);
        } catch (IllegalStateException e) {
            // the process ends already, and the hook runs
        }
        for (ClusterMember member : members.values()) {
            if (member.alive()) {
                member.kill();
            }
        }
        links.heal();
        for (FaultProxy proxy : proxies.values()) {
            proxy.close();
        }
        gossip.close();
        storeProxy.close();
        store.close();
        history.close();
    }
}
