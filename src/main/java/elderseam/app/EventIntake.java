package elderseam.app;

/**
 * The requests of CloudEvents senders, as an upgrade and a shutdown see them. A request whose events are in flight is
 * never refused: its sender could submit them elsewhere. Confined to the I/O thread.
 */
interface EventIntake {
    /** Where the CloudEvents frontend is off. */
    EventIntake NONE = new EventIntake() {
        @Override
        public void suspend() {
            // no request comes
        }

        @Override
        public void resume() {
            // no request comes
        }

        @Override
        public void close() {
            // no request comes
        }
    };

    /** Lets requests wait, because another process may take over the events. */
    void suspend();

    /** Handles the requests that have waited: no other process has taken over. */
    void resume();

    /** Has senders repeat what was not answered, which another process then answers. */
    void close();
}
