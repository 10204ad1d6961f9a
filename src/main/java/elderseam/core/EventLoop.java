package elderseam.core;

/** The thread that owns core and module, as the core sees it. */
public interface EventLoop {
    /** Runs a task on the owning thread, at that time or soon after. */
    void at(long time, Runnable task);

    /** Runs a task once all that has arrived by now has been read; what is read may come before it. */
    void afterReading(Runnable task);

    /** Whether the thread was away, and has not yet read what arrived meanwhile: nothing is to be decided now. */
    boolean late();
}
