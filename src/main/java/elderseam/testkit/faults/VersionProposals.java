package elderseam.testkit.faults;

import elderseam.fleet.config.ConfigurationVersion;
import elderseam.fleet.config.VersionContent;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;

/** Versions as an operator proposes them to the members of a cluster, by their second addresses. */
final class VersionProposals {
    private VersionProposals() {}

    /** A value of what a member answers to CONFIG; "" where it says nothing of that. */
    static String value(ProcessCluster c, String member, String name) throws IOException {
        return value(c.member(member).ask("CONFIG"), name);
    }

    private static String value(String answer, String name) {
        return answer.lines()
                .filter(l -> l.startsWith(name + "="))
                .map(l -> l.substring(name.length() + 1))
                .findFirst()
                .orElse("");
    }

    /** Asks a member to propose a file's version on top of the latest it knows; the hash, "" where it can't be asked now. */
    static String propose(ProcessCluster c, String name, Path file, String note) throws IOException {
        if (!c.member(name).alive()) {
            return "";
        }
        String latest = value(c, name, "latest").split(" ")[0];
        String answer = latest.isEmpty()
                ? ""
                : c.member(name)
                        .ask("CONFIG PROPOSE " + latest + " "
                                + ConfigurationVersion.shortHash(VersionContent.read(file)) + " " + file + " " + note);
        c.history()
                .event("propose")
                .with("at", name)
                .with("answer", answer.strip())
                .append();
        return answer.startsWith("200 asked ") ? answer.substring("200 asked ".length(), answer.indexOf(';')) : "";
    }

    /** Waits until all living members act on one version that is the latest, none in doubt and nothing pending; its hash, or an error after {@code byNs}. */
    static String agreed(ProcessCluster c, long byNs) throws IOException {
        while (true) {
            Set<String> acting = new TreeSet<>();
            boolean sure = true;
            for (String g : c.group()) {
                if (c.member(g).alive()) {
                    String s = c.member(g).ask("CONFIG"); // one answer: its lines are of one moment
                    acting.add(value(s, "acting"));
                    sure &= value(s, "acting").equals(value(s, "latest"))
                            && value(s, "doubt").equals("no")
                            && value(s, "pending").equals("none");
                }
            }
            if (sure && acting.size() == 1) {
                return acting.iterator().next().split(" ")[1];
            }
            if (System.nanoTime() > byNs) {
                throw new IOException("the members do not agree on a version: " + acting);
            }
            Waits.sleep(20); // members are asked; they tell nothing unasked
        }
    }
}
