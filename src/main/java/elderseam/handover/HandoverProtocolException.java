package elderseam.handover;

import java.io.IOException;

/**
 * The other process sent bytes that are not a {@link HandoverFrame} of this release's format. The channel is closed on
 * it.
 */
public final class HandoverProtocolException extends IOException {
    private static final long serialVersionUID = 1;

    HandoverProtocolException(String message) {
        super(message);
    }
}
