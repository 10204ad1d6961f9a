package elderseam.core;

/** What the core is asked and told about one attempt, on its own thread. */
public interface AttemptListener {
    /**
     * Asked just before bytes leave: time has passed since the attempt was decided, for a connection or a pause, and
     * its host may have told a wait or have been taken off the list. False: it must not leave, and has not.
     */
    boolean mayLeave();

    /** Its last byte was handed to the network: from now on it may run. */
    default void written() {}

    /** Its end, once. */
    void ended(EndpointCall.End end);

    /** It had been given up, and its answer came all the same, after {@link #ended} and at most once. */
    void answeredLate(EndpointCall.End end);
}
