package elderseam.testkit.simulator;

/** Input that the wire does not allow; the message names line and fault. */
public final class WireException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    WireException(String fault) {
        super(fault);
    }
}
