package elderseam.core;

/** Learns of responses on connections to endpoints and the platform that are not as they should be. Called on the I/O thread. */
public interface ResponseAnomalyListener {
    /** A listener that does nothing. */
    ResponseAnomalyListener NONE = new ResponseAnomalyListener() {
        @Override
        public void unexpectedInputReceived() {}

        @Override
        public void responseDiscarded() {}
    };

    /** Bytes have arrived that answer no request. */
    void unexpectedInputReceived();

    /** A response was read, at least up to its status, and is not believed. */
    void responseDiscarded();
}
