package elderseam.fleet.rig;

import java.util.HashSet;
import java.util.Set;

/**
 * The state of every link between named parties, each way by itself: open, or cut; and one delay for all. A cut link holds
 * what is sent on it, as a network does that drops packets under a connection: it arrives once the link is healed, unless
 * an end has given the connection up.
 */
final class Network {
    private record Link(String from, String to) {}

    private final Set<Link> cut = new HashSet<>();
    private long delayMs;

    /** Cuts what {@code from} sends to {@code to}; the other way is a link of its own. */
    synchronized void cut(String from, String to) {
        cut.add(new Link(from, to));
    }

    synchronized void delay(long ms) {
        delayMs = ms;
    }

    synchronized void heal() {
        cut.clear();
        delayMs = 0;
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
            Thread.sleep(delay);   // the delay is what this is for; order is kept, as on a connection
        }
        synchronized (this) {
            while (!open(from, to)) {
                wait();
            }
        }
    }
}
