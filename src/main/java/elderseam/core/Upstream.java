package elderseam.core;

/** Carries attempts to upstream hosts. */
public interface Upstream {
    /** Starts an attempt that must be connected and answered by those times; nothing is told from within this call. */
    UpstreamRequest send(Stream.Message message, String host, long connectBy, long answerBy, Attempt attempt);

    /** Closes the idle connections to a host. */
    void closeIdle(String host);
}
