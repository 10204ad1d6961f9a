package elderseam.frontend.platform;

/** A client's request that can't become a message. Has no stack trace, since a client causes it and not the code. */
final class InvalidRequestException extends Exception {
    private static final long serialVersionUID = 1;

    private final int status;

    /**
     * @param status the HTTP status of the answer
     * @param reason what is wrong with the request, for its sender
     */
    InvalidRequestException(int status, String reason) {
        super(reason, null, false, false);
        this.status = status;
    }

    /** The HTTP status of the answer. */
    int status() {
        return status;
    }
}
