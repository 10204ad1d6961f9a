package elderseam.core;

/**
 * Which connections may carry a request. HTTP/1.1 matches a response to its request by its place on the connection alone,
 * so a stray response on a connection that was used before can be taken for the answer to the next request there. In order
 * of strictness, the least strict first.
 */
public enum ConnectionReuse {
    /** Any: the other side is a part of this program, which answers each request once. */
    TRUSTED_PEER,
    /**
     * Also a quiet one, after any responses. A rejection on it may be the copy of an earlier one, so that the request may
     * have run: the connection is closed then, which ends the attempt before the next one begins.
     */
    QUIET,
    /** Also a quiet one, if all its responses were successful, so that a rejection is no copy of an earlier response. */
    QUIET_AFTER_SUCCESS,
    /** As {@link #QUIET_AFTER_SUCCESS}, and no rejection of an earlier request can be due any more. */
    SETTLED,
    /** Only one that was not used before; later requests may use it. */
    NEW,
    /** Only one that was not used before, and it is closed after the response. */
    SINGLE_USE
}
