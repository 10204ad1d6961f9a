package elderseam.scenario;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Locale;

/**
 * What happened in a scenario and when: its steps, the program's log, and what each stand-in saw, all on one clock. Printed where
 * a step fails. Keeps the latest {@value #MAX_ENTRIES} entries. Thread-safe.
 */
final class ScenarioTimeline {
    private static final int MAX_ENTRIES = 2_000;
    private static final int MAX_ENTRY_CHARACTERS = 240;

    private final long startNs = System.nanoTime();
    private final Deque<String> entries = new ArrayDeque<>();

    /**
     * Adds an entry.
     *
     * @param party who did it or saw it
     * @param event in words; line ends are replaced, and long ones are cut
     */
    synchronized void record(String party, String event) {
        double seconds = (System.nanoTime() - startNs) / 1e9;
        String line = event.strip().replaceAll("\\s*\r?\n", "; ");
        String cut = line.length() > MAX_ENTRY_CHARACTERS ? line.substring(0, MAX_ENTRY_CHARACTERS) + " ..." : line;
        entries.add(String.format(Locale.ROOT, "%9.3f s  %-8s  %s", seconds, party, cut));
        if (entries.size() > MAX_ENTRIES) {
            entries.removeFirst();
        }
    }

    /** All entries, a line each. */
    synchronized String text() {
        return String.join("\n", entries);
    }
}
