package review2;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** The fleet agrees on its first version while one of its three members is cut off. */
final class FirstVersion {
    private static final int MEMBERS = 3;

    /** T; at least four elections. */
    private static final long BOUND_MS = 1_000;

    private static final long ELECTION_MS = 250;

    /** What docs/fleet-config.md allows for the clocks and timers of a loaded machine. */
    private static final long CLOCKS_MS = 250;

    /** "For 6 s a zone is partitioned": the cut ends before that. */
    private static final long CUT_LIMIT_MS = 6_000;

    private static final long CUT_MS = 5_600;
    private static final String STOPPED_TENANT = "khomas-homes";

    private record Member(String name, Dispatcher process, Client client) {}

    private FirstVersion() {}

    public static void main(String[] args) throws Exception {
        Rig rig = new Rig(args);
        rig.diskMb = 20;
        String settings = Rig.settings(
                "\"wdh-1\"",
                Rig.org("erongo-lettings", 0.6) + "," + Rig.org(STOPPED_TENANT, 0.4),
                Rig.lane("rent-payment", "once", "all", 28_000, 0, false));
        Endpoint bank = new Endpoint(rig.record, "bank", call -> Endpoint.Reply.ok(150));
        rig.platform.list("s-00000001", bank.address(), "wdh-1", "bank", 1, "SERVING");
        rig.configure(settings);
        Map<String, Long> pids = new ConcurrentHashMap<>();
        Set<String> cut = CutProxy.nobody();
        List<Member> members = startMembers(rig, pids, cut);
        for (Member member : members) {
            if (!member.process.awaitReady(30_000) || !awaitStatus(member, "doubt=no", 40_000)) {
                rig.end(Rig.NOT_RUN, member.name + " did not join: " + member.process.command("CONFIG"));
            }
        }
        Path version = Files.createDirectories(rig.folder.resolve("version")).resolve("version.ini");
        Files.writeString(version, "[rules]\nfiles = stop.rules\n");
        Files.writeString(
                version.resolveSibling("stop.rules"),
                "[rule stop]\nwhen = message.tenant == '" + STOPPED_TENANT + "'\nrefuse = duration('2s')\n");
        long cutNs = System.nanoTime();
        if (rig.trouble) {
            cut.add("n3");
            rig.record.line("network", "n3 is cut off from n1 and n2");
        }
        if (!propose(rig, version, members, cutNs + (CUT_MS - BOUND_MS - CLOCKS_MS) * 1_000_000)) {
            rig.end(Rig.NOT_RUN, "n1 and n2 did not act on version 1 early enough in the cut of " + CUT_MS + " ms");
        }
        long effectNs = System.nanoTime();
        rig.record.line("fleet", "n1 and n2 act on version 1, which refuses " + STOPPED_TENANT);
        Thread.sleep(BOUND_MS + CLOCKS_MS);
        int stale = 0;
        int asked = 0;
        while (System.nanoTime() < cutNs + (CUT_MS - 100) * 1_000_000 || asked == 0) {
            for (Member member : members) {
                String id = String.format("%016x", 0xb0000 + asked++);
                rig.record.line(member.name, "is asked " + (System.nanoTime() - effectNs) / 1_000_000 + " ms after the effect");
                int status = member.client.send(id, "rent-payment", STOPPED_TENANT, 1, 10_000, "", "");
                stale += status / 100 == 2 ? 1 : 0;
            }
            Thread.sleep(150);
        }
        members.forEach(member -> rig.record.line(
                member.name, member.process.command("CONFIG").strip().replace("\n", " ")));
        cut.clear();
        long cutMs = (System.nanoTime() - cutNs) / 1_000_000;
        rig.record.line("network", "whole, " + cutMs + " ms after the cut began");
        Thread.sleep(1_000);
        for (Member member : members) {
            member.process.kill();
        }
        if (rig.trouble && cutMs > CUT_LIMIT_MS) {
            rig.end(Rig.NOT_RUN, "the cut lasted " + cutMs + " ms, longer than the page has it");
        }
        if (stale > 0) {
            rig.end(Rig.BROKEN, stale + " of " + asked + " messages were taken on over " + (BOUND_MS + CLOCKS_MS)
                    + " ms after the version that refuses them took effect; T is " + BOUND_MS + " ms");
        }
        rig.end(Rig.HELD, "no member acted against version 1, " + asked + " messages");
    }

    private static List<Member> startMembers(Rig rig, Map<String, Long> pids, Set<String> cut) throws IOException {
        List<String> listed = new ArrayList<>();
        int[] ports = new int[MEMBERS];
        for (int i = 0; i < MEMBERS; i++) {
            ports[i] = Rig.freePort();
            listed.add("n" + (i + 1) + "=" + new CutProxy("n" + (i + 1), ports[i], pids, cut).address());
        }
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < MEMBERS; i++) {
            String name = "n" + (i + 1);
            Path ini = rig.folder.resolve(name + ".ini");
            Files.writeString(ini, "[fleet]\nlisten = 127.0.0.1:" + ports[i] + "\nname = " + name + "\nmembers = "
                    + String.join(" ", listed) + "\nfolder = " + rig.folder.resolve("group-" + name)
                    + "\nversions_bound_ms = " + BOUND_MS + "\nelection_ms = " + ELECTION_MS + "\n");
            String address = "127.0.0.1:" + Rig.freePort();
            Dispatcher process = rig.start(
                    name, name, address, rig.folder.resolve("state-" + name), "127.0.0.1:" + Rig.freePort(), ini.toString());
            pids.put(name, process.pid());
            members.add(new Member(name, process, new Client(rig.record, address)));
        }
        return members;
    }

    /** Proposes by the program's own command, again while the group elects; whether n1 and n2 act on version 1 by then. */
    private static boolean propose(Rig rig, Path version, List<Member> members, long endNs) throws Exception {
        int proposer = 0;
        while (System.nanoTime() < endNs) {
            Member at = members.get(proposer++ % 2);
            Process command = new ProcessBuilder(
                            "java", "-jar", "target/elderseam.jar", "config", "propose", version.toString(), "--at",
                            at.process.controlAddress(), "--note", "stop " + STOPPED_TENANT)
                    .directory(rig.root.toFile())
                    .redirectErrorStream(true)
                    .start();
            String output = new String(command.getInputStream().readAllBytes()).strip().replace("\n", " / ");
            command.waitFor(20, TimeUnit.SECONDS);
            rig.record.line(at.name, "config propose: " + output);
            boolean committed = output.contains("is committed");
            long waitMs = committed ? (endNs - System.nanoTime()) / 1_000_000 : 100;
            if (awaitStatus(members.get(0), "acting=1 ", waitMs) && awaitStatus(members.get(1), "acting=1 ", waitMs)) {
                return true;
            }
        }
        return false;
    }

    private static boolean awaitStatus(Member member, String words, long ms) throws InterruptedException {
        long end = System.nanoTime() + ms * 1_000_000;
        while (System.nanoTime() < end) {
            if (member.process.command("CONFIG").contains(words)) {
                return true;
            }
            Thread.sleep(50);
        }
        return false;
    }
}
