package elderseam.scenario;

import elderseam.gossip.security.KeyFile;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** What gossip costs an idle dispatcher: CPU and memory of five processes for a minute, off and on. Run by {@code make figures}. */
public final class GossipCost {
    private static final int PROCESSES = 5;
    private static final int SECONDS = 60;

    private GossipCost() {}

    public static void main(String[] args) throws Exception {
        for (boolean on : new boolean[] {false, true}) {
            Path folder = Files.createTempDirectory("gossip-cost");
            List<Scenario> all = new ArrayList<>();
            List<String> roster = new ArrayList<>();
            List<String> at = new ArrayList<>();
            for (int i = 0; i < PROCESSES; i++) {
                at.add(RawHttpSocket.own().getHostAddress());
                roster.add("n" + i + " " + at.get(i) + " "
                        + KeyFile.create(folder.resolve("k" + i)).publicKeyText());
            }
            Files.write(folder.resolve("roster"), roster);
            try {
                for (int i = 0; i < PROCESSES; i++) {
                    Scenario s = new Scenario(Files.createDirectory(folder.resolve("n" + i)));
                    all.add(s);
                    s.launcher().withoutEvents();
                    s.launcher()
                            .setSettingsLines(
                                    on
                                            ? "[gossip]\nlisten = " + at.get(i) + ":7946\nname = n" + i
                                                    + "\nkey_file = "
                                                    + folder.resolve("k" + i) + "\nroster = " + folder.resolve("roster")
                                                    + "\nseeds = " + at.get(0) + ":7946\n"
                                            : "");
                    s.start();
                }
                long before = ticks(all);
                long start = System.nanoTime();
                System.err.println("gossip " + (on ? "on" : "off") + ", " + SECONDS + " s ...");
                Thread.sleep(SECONDS * 1_000L);
                double share = (ticks(all) - before) / 100.0 / ((System.nanoTime() - start) / 1e9) / PROCESSES;
                System.out.printf(
                        "gossip %-3s %6.2f%% of a core, %d kB resident each%n",
                        on ? "on" : "off", share * 100, resident(all) / PROCESSES);
            } finally {
                for (Scenario s : all) {
                    s.close();
                }
            }
        }
        System.exit(0);
    }

    /** CPU of all, in hundredths of a second. */
    private static long ticks(List<Scenario> all) throws Exception {
        long sum = 0;
        for (Scenario s : all) {
            sum += s.program().cpuTicks();
        }
        return sum;
    }

    private static long resident(List<Scenario> all) throws Exception {
        long kb = 0;
        for (Scenario s : all) {
            kb += s.program().residentKilobytes();
        }
        return kb;
    }
}
