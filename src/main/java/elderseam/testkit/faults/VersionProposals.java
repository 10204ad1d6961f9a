package elderseam.testkit.faults;

import elderseam.fleet.config.ConfigurationVersion;
import elderseam.fleet.config.VersionContent;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;

/** Configuration versions as an operator proposes and follows them, by the members' control addresses. */
final class VersionProposals {
    private static final String ACCEPTED = "200 asked ";
    private static final long POLL_MS = 20;

    private VersionProposals() {}

    /** A value of a member's answer to CONFIG; "" where the answer has none of that name. */
    static String value(ProcessCluster cluster, String member, String name) throws IOException {
        return value(cluster.member(member).ask("CONFIG"), name);
    }

    private static String value(String answer, String name) {
        String prefix = name + "=";
        return answer.lines()
                .filter(line -> line.startsWith(prefix))
                .map(line -> line.substring(prefix.length()))
                .findFirst()
                .orElse("");
    }

    /** Asks a member to propose a file's version after the latest that it knows; the version's hash, "" where it was not accepted. */
    static String propose(ProcessCluster cluster, String name, Path file, String note) throws IOException {
        ClusterMember member = cluster.member(name);
        if (!member.alive()) {
            return "";
        }
        String latest = value(cluster, name, "latest").split(" ")[0];
        String answer = "";
        if (!latest.isEmpty()) {
            String hash = ConfigurationVersion.shortHash(VersionContent.read(file));
            answer = member.ask("CONFIG PROPOSE " + latest + " " + hash + " " + file + " " + note);
        }
        cluster.history()
                .event("propose")
                .with("at", name)
                .with("answer", answer.strip())
                .append();
        return answer.startsWith(ACCEPTED) ? answer.substring(ACCEPTED.length(), answer.indexOf(';')) : "";
    }

    /**
     * Waits until all living members act on one version that is the latest, none in doubt and nothing pending.
     *
     * @return the version's hash
     * @throws IOException where they don't by {@code deadlineNs}
     */
    static String awaitAgreement(ProcessCluster cluster, long deadlineNs) throws IOException {
        while (true) {
            Set<String> acting = new TreeSet<>();
            boolean allSettled = true;
            for (String member : cluster.livingMembers()) {
                String answer = cluster.member(member).ask("CONFIG"); // one answer: its lines are of one moment
                acting.add(value(answer, "acting"));
                allSettled &= isSettled(answer);
            }
            if (allSettled && acting.size() == 1) {
                return acting.iterator().next().split(" ")[1];
            }
            if (System.nanoTime() > deadlineNs) {
                throw new IOException("the members do not agree on a version: " + acting);
            }
            Waits.sleep(POLL_MS); // members answer questions, and report no change by themselves
        }
    }

    private static boolean isSettled(String answer) {
        return value(answer, "acting").equals(value(answer, "latest"))
                && value(answer, "doubt").equals("no")
                && value(answer, "pending").equals("none");
    }
}
