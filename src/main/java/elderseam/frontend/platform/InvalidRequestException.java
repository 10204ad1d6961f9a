package elderseam.frontend.platform;

/** A client's request violates the protocol. Has no stack trace, since the fault is the client's and not the code's. */
final class InvalidRequestException extends Exception {
    private static final long serialVersionUID = 1;

    private final int status;

    /**
     * @param status the HTTP status of the response
     * @param reason the fault in the request, for the body of the response
     */
    InvalidRequestException(int status, String reason) {
        super(reason, null, false, false);
        this.status = status;
    }

    /** The HTTP status of the response. */
    int status() {
        return status;
    }
}
