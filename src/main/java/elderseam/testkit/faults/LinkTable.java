package elderseam.testkit.faults;

import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * The state of every link between named parties, each direction by itself: open or cut; and one delay and one loss for all. A
 * cut link holds what is sent on a connection, as a network does that drops packets under it: it arrives once the link is
 * healed, unless an end has given the connection up. Thread-safe.
 */
final class LinkTable {
    private static final int PERCENT = 100;

    private record Link(String from, String to) {}

    private final Set<Link> cut = new HashSet<>();
    private final SplittableRandom random = new SplittableRandom(1);
    private long delayMs;
    private long lossPercent;
    private long lostDatagrams;

    /** Cuts what {@code from} sends to {@code to}; the other direction is a link of its own. */
    synchronized void cut(String from, String to) {
        cut.add(new Link(from, to));
    }

    /** Delays what is sent on every link. */
    synchronized void delay(long ms) {
        delayMs = ms;
    }

    /** The delay of every link. */
    synchronized long delayMs() {
        return delayMs;
    }

    /** Loses so many of a hundred datagrams on every link; connections lose nothing. */
    synchronized void lose(long percent) {
        lossPercent = percent;
    }

    /** Whether one datagram from {@code from} reaches {@code to}; one that does not is counted as lost. */
    synchronized boolean deliversDatagram(String from, String to) {
        boolean delivers = isOpen(from, to) && random.nextLong(PERCENT) >= lossPercent;
        if (!delivers) {
            lostDatagrams++;
        }
        return delivers;
    }

    /** How many datagrams were lost so far. */
    synchronized long lostDatagrams() {
        return lostDatagrams;
    }

    /** Opens every link, and ends delay and loss. */
    synchronized void heal() {
        cut.clear();
        delayMs = 0;
        lossPercent = 0;
        notifyAll();
    }

    private synchronized boolean isOpen(String from, String to) {
        return !cut.contains(new Link(from, to));
    }

    /** Waits for the links' delay, and until the link is open. */
    void awaitOpen(String from, String to) throws InterruptedException {
        long ms = delayMs();
        if (ms > 0) {
            Thread.sleep(ms); // on the sender's own thread, so that the order is kept, as on a connection
        }
        synchronized (this) {
            while (!isOpen(from, to)) {
                wait();
            }
        }
    }
}
