package elderseam.testkit.emulator;

import java.util.PriorityQueue;

/** Time that passes from event to event; events of one time run in the order in which they were set. */
public final class VirtualTime {
    private record Event(long at, long number, Runnable what) implements Comparable<Event> {
        @Override
        public int compareTo(Event o) {
            return at != o.at ? Long.compare(at, o.at) : Long.compare(number, o.number);
        }
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long now;
    private long numbers;

    public long now() {
        return now;
    }

    public void at(long when, Runnable what) {
        events.add(new Event(Math.max(now, when), numbers++, what));
    }

    /** Lets so much time pass. */
    public void pass(long ns) {
        long end = now + ns;
        while (!events.isEmpty() && events.peek().at <= end) {
            Event e = events.poll();
            now = e.at;
            e.what.run();
        }
        now = end;
    }
}
