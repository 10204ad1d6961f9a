package elderseam.frontend.cloudevents;

/** An event that can't be accepted. Has no stack trace, since a sender causes it and not the code. */
final class InvalidEventException extends Exception {
    private static final long serialVersionUID = 1;

    private final int status;

    /**
     * @param status the HTTP status that says so to the event's sender
     * @param reason what is wrong with the event, for its sender
     */
    InvalidEventException(int status, String reason) {
        super(reason, null, false, false);
        this.status = status;
    }

    /** An event that is malformed, or against a demand of the specification. */
    static InvalidEventException malformed(String reason) {
        return new InvalidEventException(400, reason);
    }

    /** An event that the SDK or the JSON parser rejects. */
    static InvalidEventException malformed(Exception cause) {
        return malformed(firstLineOfRootCause(cause));
    }

    /** The first line of what the deepest cause says; the others repeat it, or quote the input at length. */
    static String firstLineOfRootCause(Exception exception) {
        Throwable rootCause = exception;
        while (rootCause.getCause() != null) {
            rootCause = rootCause.getCause();
        }
        return String.valueOf(rootCause.getMessage()).lines().findFirst().orElse("malformed");
    }

    /** The HTTP status that says so to the event's sender. */
    int status() {
        return status;
    }
}
