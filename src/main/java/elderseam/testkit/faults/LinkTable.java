package elderseam.testkit.faults;

import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * The state of every link between named parties, each way by itself: open, or cut; and one delay for all. A cut link holds
 * what is sent on it, as a network does that drops packets under a connection: it arrives once the link is healed, unless
 * an end has given the connection up.
 */
final class LinkTable {
    private record Link(String from, String to) {}

    private final Set<Link> cut = new HashSet<>();
    private final SplittableRandom random = new SplittableRandom(1);
    private long delayMs;
    private long lossPercent;
    private long lost;

    /** Cuts what {@code from} sends to {@code to}; the other way is a link of its own. */
    synchronized void cut(String from, String to) {
        cut.add(new Link(from, to));
    }

    synchronized void delay(long ms) {
        delayMs = ms;
    }

    synchronized long delayMs() {
        return delayMs;
    }

    /** So many of a hundred datagrams are lost on every link; connections lose nothing. */
    synchronized void lose(long percent) {
        lossPercent = percent;
    }

    /** Whether one datagram from {@code from} reaches {@code to}. */
    synchronized boolean datagram(String from, String to) {
        boolean reaches = open(from, to) && random.nextLong(100) >= lossPercent;
        lost += reaches ? 0 : 1;
        return reaches;
    }

    /** How many datagrams were lost so far. */
    synchronized long lost() {
        return lost;
    }

    synchronized void heal() {
        cut.clear();
        delayMs = 0;
        lossPercent = 0;
        notifyAll();
    }

    synchronized boolean open(String from, String to) {
        return !cut.contains(new Link(from, to));
    }

    /** Returns once what {@code from} sent may go on to {@code to}. */
    void pass(String from, String to) throws InterruptedException {
        long delay;
        synchronized (this) {
            delay = delayMs;
        }
        if (delay > 0) {
            Thread.sleep(delay); // the delay is what this is for; order is kept, as on a connection
        }
        synchronized (this) {
            while (!open(from, to)) {
                wait();
            }
        }
    }
}
