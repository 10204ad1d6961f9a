package elderseam.handover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import elderseam.core.Handover;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The configuration at the end of a state transfer, and builds that do not know of it. */
class ConfigurationReadingTest {
    private static final Handover.State STATE =
            new Handover.State(new byte[] {1}, List.of(new Handover.InFlightAttempt("a", 1, "h", 5)));
    private static final HandoverFrame.ConfigurationReading READING =
            new HandoverFrame.ConfigurationReading("127.0.0.1:8001", 7);

    private static HandoverFrame.StateTransfer decoded(byte[] bytes) throws Exception {
        return (HandoverFrame.StateTransfer) HandoverFrameCodec.decode(bytes);
    }

    @Test
    void itIsDecodedAsItWasEncoded() throws Exception {
        byte[] bytes = HandoverFrameCodec.encode(new HandoverFrame.StateTransfer("{}", STATE, true, READING));
        assertEquals(READING, decoded(bytes).configuration());
    }

    /** An older build sends none, and a newer one that gets it reads the bytes before it as ever. */
    @Test
    void aBuildThatDoesNotTellItIsUnderstood() throws Exception {
        byte[] without = HandoverFrameCodec.encode(new HandoverFrame.StateTransfer("{}", STATE, true));
        byte[] with = HandoverFrameCodec.encode(new HandoverFrame.StateTransfer("{}", STATE, true, READING));
        assertFalse(decoded(without).configuration().isKnown());
        assertEquals(without.length, Arrays.mismatch(without, with), "the bytes before it differ");
    }
}
