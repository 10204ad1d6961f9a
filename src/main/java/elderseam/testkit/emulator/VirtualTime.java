package elderseam.testkit.emulator;

import java.util.PriorityQueue;

/** A discrete-event clock, in nanoseconds from 0. Tasks of one time run in the order in which they were scheduled. One thread. */
public final class VirtualTime {
    private record Event(long time, long sequence, Runnable task) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return time != other.time ? Long.compare(time, other.time) : Long.compare(sequence, other.sequence);
        }
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long now;
    private long nextSequence;

    /** The current time. */
    public long now() {
        return now;
    }

    /** Schedules a task; one of a past time runs now, after those that are scheduled already. */
    public void at(long time, Runnable task) {
        events.add(new Event(Math.max(now, time), nextSequence, task));
        nextSequence++;
    }

    /** Lets time pass and runs the tasks that are due, those included that they schedule. */
    public void pass(long nanos) {
        long end = now + nanos;
        while (!events.isEmpty() && events.peek().time <= end) {
            Event event = events.poll();
            now = event.time;
            event.task.run();
        }
        now = end;
    }
}
