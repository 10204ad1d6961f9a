package elderseam.testkit.ordering;

/** The message classes of the trial's settings. */
enum TrialClass {
    ORDERED_ONCE("/once", true, true),
    ORDERED_REPEATABLE("/again", true, false),
    ONCE("/free-once", false, true),
    REPEATABLE("/free-again", false, false);

    private final String path;
    private final boolean ordered;
    private final boolean once;

    TrialClass(String path, boolean ordered, boolean once) {
        this.path = path;
        this.ordered = ordered;
        this.once = once;
    }

    /** The path at which clients hand in its messages. */
    String path() {
        return path;
    }

    /** Whether the messages of a key go out one at a time, in their order. */
    boolean isOrdered() {
        return ordered;
    }

    /** Whether a message must not run twice. */
    boolean isOnce() {
        return once;
    }
}
