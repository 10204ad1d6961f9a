package elderseam.testkit.simulator;

/** Input that breaks the wire format; the message names the line and the fault. */
public final class WireException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    WireException(long lineNumber, String fault) {
        super("line " + lineNumber + ": " + fault);
    }
}
