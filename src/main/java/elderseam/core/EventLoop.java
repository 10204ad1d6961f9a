package elderseam.core;

/** The thread that the dispatcher and the policy are confined to. All methods are called on that thread. */
public interface EventLoop {
    /** Runs a task on the thread, at that time of {@link Clock#now} or soon after. */
    void at(long time, Runnable task);

    /**
     * Runs a task once everything that has arrived by now has been read; the handlers of what is read may run before
     * it.
     */
    void afterReading(Runnable task);

    /**
     * Whether the thread was stalled and has not yet read what arrived meanwhile, so that nothing may be decided now.
     */
    boolean isStalled();
}
