package elderseam.frontend.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** What is derived from the limits in RELAY_CONFIG. */
class ResourceLimitsTest {
    private static int requestBytes(int memoryMb) {
        return new ResourceLimits(1 << 20, 256, memoryMb).requestBytes();
    }

    /** From 2,048 MB on the product was negative, and no body was read. */
    @Test
    void muchMemoryGivesMuchRoomForRequests() {
        assertEquals(2 << 20, requestBytes(64));
        assertEquals(64 << 20, requestBytes(2_048));
        assertEquals(512 << 20, requestBytes(16_384));
        assertEquals(Integer.MAX_VALUE, requestBytes(Integer.MAX_VALUE));
    }
}
