package elderseam.core;

/** The event-loop thread that the dispatcher and the policy are confined to. All methods are called on that thread. */
public interface EventLoop {
    /** Runs a task on the event-loop thread at the given time of {@link Clock#now}, or soon after. */
    void at(long time, Runnable task);

    /**
     * Runs a task once all input that has arrived by now has been read; the handlers of that input may run before the
     * task.
     */
    void afterReading(Runnable task);

    /** Whether the thread was stalled and has not read the pending input yet, so that no decision may be made now. */
    boolean isStalled();

    /** The state of what is confined to this thread can no longer be relied on; ends the process. */
    default void failed(Throwable thrown) {}
}
