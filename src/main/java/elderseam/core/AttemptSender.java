package elderseam.core;

/** Carries attempts to upstream hosts. */
public interface AttemptSender {
    /** Starts an attempt that must be connected and answered by those times; nothing is told from within this call. */
    EndpointCall send(
            ActiveRequest.Message message, String host, long connectBy, long answerBy, AttemptListener attempt);

    /** Closes the idle connections to a host. */
    void closeIdle(String host);
}
