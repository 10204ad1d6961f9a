package elderseam.testkit.faults;

import elderseam.fleet.selftest.FaultTestHistory;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Carries out the faults of a test on a cluster's processes and links, and ends them. One thread uses it. */
final class FaultInjector {
    private static final String NUMBER = "\\d+";

    private final ProcessCluster cluster;
    private final LinkTable links;
    private final FaultTestHistory history;
    private final Map<String, Long> stalledUntilNs = new LinkedHashMap<>(); // by member; of System.nanoTime()

    FaultInjector(ProcessCluster cluster, LinkTable links, FaultTestHistory history) {
        this.cluster = cluster;
        this.links = links;
        this.history = history;
    }

    /** Carries out one fault; the history has it first, with the members that its roles stand for at this moment. */
    void inject(FaultInjection fault) throws IOException {
        List<String> targets = targets(fault);
        history.event("fault")
                .with("verb", fault.kind().word())
                .with("words", String.join(" ", fault.words()))
                .with("whom", String.join(" ", targets))
                .append();
        switch (fault.kind()) {
            case ISOLATE -> cut(targets.get(0), true, true);
            case MUTE -> cut(targets.get(0), true, false);
            case DEAFEN -> cut(targets.get(0), false, true);
            case PARTITION -> partition(targets);
            case DELAY -> links.delay(number(fault));
            case LOSE -> links.lose(number(fault));
            case RESET -> cluster.resetConnections();
            case STALL -> stall(targets.get(0), number(fault));
            case CRASH -> {
                for (String member : fault.words().contains(FaultKind.ALL) ? cluster.group() : targets) {
                    kill(member);
                }
            }
            case END -> end(targets.get(0));
            case RESTART -> cluster.startStoppedMembers();
            case REPLACE -> {
                cluster.admitInPlaceOf(targets.get(0));
                kill(targets.get(0));
            }
        }
    }

    private List<String> targets(FaultInjection fault) {
        return fault.words().stream()
                .filter(word -> !word.matches(NUMBER) && !word.equals(FaultKind.ALL))
                .map(this::member)
                .distinct()
                .toList();
    }

    /** The milliseconds or the percentage of a fault; 0 where it has none. */
    private static long number(FaultInjection fault) {
        return fault.words().stream()
                .filter(word -> word.matches(NUMBER))
                .mapToLong(Long::parseLong)
                .findFirst()
                .orElse(0);
    }

    /** The member of a name or role; the group's first where nobody is known in that role. */
    private String member(String role) {
        String name = switch (role) {
            case "holder" -> cluster.holder();
            case "leader" -> cluster.leader();
            case "other" -> neitherHolderNorLeader();
            default -> role;
        };
        return cluster.members().containsKey(name) ? name : cluster.group().get(0);
    }

    /** A living member that neither holds the lease nor leads; "" where there is none. */
    private String neitherHolderNorLeader() {
        return cluster.livingMembers().stream()
                .filter(name -> !name.equals(cluster.holder()) && !name.equals(cluster.leader()))
                .findFirst()
                .orElse("");
    }

    private void cut(String member, boolean outgoing, boolean incoming) {
        List<String> others = new ArrayList<>(cluster.members().keySet());
        others.add(ProcessCluster.STORE);
        others.remove(member);
        for (String other : others) {
            if (outgoing) {
                links.cut(member, other);
            }
            if (incoming) {
                links.cut(other, member);
            }
        }
    }

    private void partition(List<String> side) {
        for (String inside : side) {
            for (String outside : cluster.members().keySet()) {
                if (!side.contains(outside)) {
                    links.cut(inside, outside);
                    links.cut(outside, inside);
                }
            }
        }
    }

    private void stall(String name, long ms) throws IOException {
        ClusterMember member = cluster.member(name);
        if (!member.alive()) {
            return;
        }
        member.stall();
        history.event("stopped").with("member", name).append();
        stalledUntilNs.put(name, System.nanoTime() + ms * Waits.NANOS_PER_MS);
    }

    private void kill(String name) throws IOException {
        ClusterMember member = cluster.member(name);
        if (!member.alive()) {
            return;
        }
        stalledUntilNs.remove(name);
        member.kill();
        history.event("killed").with("member", name).append(); // after its end: it believed to hold no later than this
    }

    private void end(String name) throws IOException {
        ClusterMember member = cluster.member(name);
        if (!member.alive()) {
            return;
        }
        if (stalledUntilNs.remove(name) != null) {
            member.resume(); // a stopped process handles no SIGTERM, and its end would be waited for forever
        }
        history.event("ending").with("member", name).append();
        member.end();
        history.event("killed").with("member", name).append();
    }

    /**
     * Lets stalled members go on whose time is up.
     *
     * @param nowNs of System.nanoTime(); Long.MAX_VALUE for all of them
     * @return when the next one's time is up; Long.MAX_VALUE where none is stalled
     */
    long resumeDue(long nowNs) throws IOException {
        for (String name : List.copyOf(stalledUntilNs.keySet())) {
            if (stalledUntilNs.get(name) <= nowNs) {
                stalledUntilNs.remove(name);
                cluster.member(name).resume();
                history.event("resumed").with("member", name).append();
            }
        }
        return stalledUntilNs.values().stream().mapToLong(ns -> ns).min().orElse(Long.MAX_VALUE);
    }

    /** Ends every fault: stalled members go on, links are open where {@code healLinks}, stopped members start; returns once all serve. */
    void heal(boolean healLinks) throws IOException {
        resumeDue(Long.MAX_VALUE);
        if (healLinks) {
            links.heal();
        }
        cluster.startStoppedMembers();
        history.event("healed").append();
    }
}
