package elderseam.handover;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import elderseam.core.AttemptOutcome;
import elderseam.core.AttemptOutcome.Progress;
import elderseam.core.AttemptOutcome.Status;
import elderseam.core.Handover;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The frames of a handover as bytes. */
class HandoverFrameCodecTest {
    private static final HandoverFrame.AttemptCompletion COMPLETION =
            new HandoverFrame.AttemptCompletion(new Handover.ForwardedOutcome(
                    "m", 2, "h", true, new AttemptOutcome(Progress.ANSWERED, Status.OVERLOADED, 7, 0.5, 3)));
    private static final HandoverFrame.StateTransfer TRANSFER = new HandoverFrame.StateTransfer(
            "{\"name\":\"Österreich\"}",
            new Handover.State(new byte[] {1, 2, 3}, List.of(new Handover.InFlightAttempt("a", 1, "h", 5))),
            true);

    private static HandoverFrame decodedAgain(HandoverFrame frame) throws IOException {
        return HandoverFrameCodec.decode(HandoverFrameCodec.encode(frame));
    }

    @Test
    void framesAreDecodedAsTheyWereEncoded() throws Exception {
        List<HandoverFrame> comparable = List.of(
                new HandoverFrame.TransferRequest(),
                new HandoverFrame.OwnershipConfirmed(),
                new HandoverFrame.AttemptCancellation("m", 3),
                COMPLETION);
        for (HandoverFrame frame : comparable) {
            assertEquals(frame, decodedAgain(frame));
        }
        HandoverFrame.StateTransfer decoded = (HandoverFrame.StateTransfer) decodedAgain(TRANSFER);
        assertEquals(TRANSFER.endpointList(), decoded.endpointList());
        assertEquals(TRANSFER.state().inFlight(), decoded.state().inFlight());
        assertArrayEquals(TRANSFER.state().policySnapshot(), decoded.state().policySnapshot());
        assertTrue(decoded.draining());
    }

    /** The codes are lists of their own; a value that is missing there could not be sent. */
    @Test
    void everyProgressAndStatusHasACode() throws Exception {
        for (Progress progress : Progress.values()) {
            for (Status status : Status.values()) {
                Status sent =
                        status == Status.LOCAL_FAILURE ? Status.NOT_STARTED : status; // what earlier releases know
                assertEquals(completion(progress, sent), decodedAgain(completion(progress, status)));
            }
        }
    }

    private static HandoverFrame completion(Progress progress, Status status) {
        AttemptOutcome outcome = new AttemptOutcome(progress, status, 7, 0.5, 3);
        return new HandoverFrame.AttemptCompletion(new Handover.ForwardedOutcome("m", 2, "h", false, outcome));
    }

    @Test
    void anotherVersionOrATruncatedFrameIsRejected() throws Exception {
        byte[] otherVersion = HandoverFrameCodec.encode(TRANSFER);
        otherVersion[0]++;
        assertThrows(HandoverProtocolException.class, () -> HandoverFrameCodec.decode(otherVersion));
        byte[] complete = HandoverFrameCodec.encode(TRANSFER);
        for (int length = 0; length < complete.length; length++) {
            byte[] truncated = Arrays.copyOf(complete, length);
            assertThrows(IOException.class, () -> HandoverFrameCodec.decode(truncated));
        }
    }

    /** What used to fail as a RuntimeException of the JDK: an unknown type or code, and a negative length. */
    @Test
    void bytesThatAreNoFrameAreRejected() throws Exception {
        byte[] unknownType = {HandoverFrameCodec.VERSION, 9};
        assertThrows(HandoverProtocolException.class, () -> HandoverFrameCodec.decode(unknownType));
        byte[] unknownStatus = HandoverFrameCodec.encode(COMPLETION);
        unknownStatus[unknownStatus.length - 3 * Long.BYTES - 1] = 99;
        assertThrows(HandoverProtocolException.class, () -> HandoverFrameCodec.decode(unknownStatus));
        byte[] negativeLength = {HandoverFrameCodec.VERSION, 2, -1, -1, -1, -1};
        assertThrows(HandoverProtocolException.class, () -> HandoverFrameCodec.decode(negativeLength));
    }
}
