package elderseam.testkit.faults;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;

/** The settings file, {@code elderseam.ini}, of each member of a cluster. */
final class MemberSettings {
    /** The lease that the members of a test compete for. */
    static final String LEASE = "rehearsal";

    static final String FILE_NAME = "elderseam.ini";
    private static final String SELF_TEST_SECTION = "[rehearsal]\n";
    private static final int ACT_INTERVAL_MS = 20;
    private static final int TRUE_CLOCK_PERCENT = 100;

    private final FaultSchedule schedule;
    private final Path folder;
    private final ClusterSetup setup;
    private final GossipAddresses gossip;
    private final int storePort;

    /** {@code folder}: the cluster's, in which each member has its own; {@code storePort}: where the store is reached. */
    MemberSettings(FaultSchedule schedule, Path folder, ClusterSetup setup, GossipAddresses gossip, int storePort) {
        this.schedule = schedule;
        this.folder = folder;
        this.setup = setup;
        this.gossip = gossip;
        this.storePort = storePort;
    }

    /**
     * Writes a member's settings.
     *
     * @param listen where its lease group's engine listens
     * @param peers the lease group, as {@code NAME=HOST:PORT} with blanks between
     */
    void write(String member, InetSocketAddress listen, String peers) throws IOException {
        String text;
        if (setup.gossips()) {
            text = gossipSettings(member);
        } else if (setup.leases()) {
            text = fleetSection(member, listen, peers) + extraLinesAndSelfTest(member);
        } else {
            text = "# all off\n";
        }
        Files.writeString(folder.resolve(member).resolve(FILE_NAME), text);
    }

    private String fleetSection(String member, InetSocketAddress listen, String peers) {
        StringBuilder text = new StringBuilder("[fleet]\n");
        text.append("listen = ").append(listen.getHostString()).append(':').append(listen.getPort());
        text.append("\nname = ").append(member);
        text.append("\nmembers = ").append(peers);
        if (setup.storeActs()) {
            text.append("\nleases = ").append(LEASE);
        }
        text.append("\nttl_ms = ").append(schedule.ttlMs());
        text.append("\ndrift_percent = ").append(schedule.driftPercent());
        text.append("\nelection_ms = ").append(schedule.electionMs());
        return text.append('\n').toString();
    }

    /** The setup's lines and the self-test section; where the setup has lines of that section, both stand in one. */
    private String extraLinesAndSelfTest(String member) {
        String extraLines = setup.extraLines().apply(member);
        String selfTest = selfTestSection(member);
        return extraLines.contains(SELF_TEST_SECTION)
                ? extraLines.replace(SELF_TEST_SECTION, selfTest)
                : extraLines + selfTest;
    }

    private String selfTestSection(String member) {
        StringBuilder text = new StringBuilder(SELF_TEST_SECTION);
        text.append("history = ").append(historyFile(member));
        if (setup.storeActs()) {
            text.append("\nstore = 127.0.0.1:").append(storePort);
        }
        text.append("\nact_ms = ").append(ACT_INTERVAL_MS);
        text.append("\nclock_percent = ").append(schedule.clocks().getOrDefault(member, TRUE_CLOCK_PERCENT));
        return text.append('\n').toString();
    }

    private String gossipSettings(String member) {
        return gossip.settings(member)
                + SELF_TEST_SECTION
                + "history = " + historyFile(member)
                + "\ngossip_lease = " + setup.gossip().setting() + "\n"
                + setup.extraLines().apply(member);
    }

    /** Where a member writes its part of the history. */
    Path historyFile(String member) {
        return folder.resolve(member + ".jsonl");
    }
}
