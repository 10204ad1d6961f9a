package elderseam.scenario;

import java.util.ArrayList;
import java.util.List;

/**
 * The changes of the endpoint list of a {@link FakePlatform}, told to each watch that has not heard of them, and faults, each of
 * which befalls one watch. Changes and version are read in one step: a watch that was given up must take no change along, and none
 * be told a version without its change.
 */
final class EndpointListUpdates {
    /** A fault: the connection of the watch is reset. */
    static final String FAIL = "fail";

    /** A fault: the watch gets no answer. */
    static final String MUTE = "mute";

    private static final int FIRST_VERSION = 2; // the list of the configuration is version 1
    private static final long POLL_MS = 50;

    private final List<String> changes = new ArrayList<>();
    private final List<String> faults = new ArrayList<>();

    /** What a watch is told: changes up to a version, or one fault. */
    record Update(List<String> changes, int version) {}

    /** Adds a change ({@code NAME STATE}) or a fault. */
    synchronized void add(String words) {
        boolean fault = words.equals(FAIL) || words.equals(MUTE);
        (fault ? faults : changes).add(words);
        notifyAll();
    }

    /**
     * Waits for what is newer than a version.
     *
     * @param polls how often to look, every 50 ms
     * @return the update, without changes if none came; null if the watch's connection has ended
     */
    synchronized Update awaitAfter(int version, RawHttpSocket.Link watch, int polls) throws InterruptedException {
        for (int i = 0; i < polls; i++) {
            if (watch.read.contains(RawHttpSocket.ENDED)) {
                return null;
            }
            if (!faults.isEmpty()) {
                return new Update(List.of(faults.remove(0)), version);
            }
            int known = Math.max(0, version - FIRST_VERSION + 1);
            if (known < changes.size()) {
                return new Update(
                        List.copyOf(changes.subList(known, changes.size())), FIRST_VERSION - 1 + changes.size());
            }
            wait(POLL_MS);
        }
        return new Update(List.of(), Math.max(version, FIRST_VERSION - 1));
    }
}
