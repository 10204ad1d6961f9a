package elderseam.app;

import java.io.IOException;
import java.nio.file.Path;

/**
 * Reads a configuration completely, on any thread, before any of it takes effect. What a method returns makes it
 * effective, and is run on the I/O thread; an IOException says what is wrong with it on this member.
 */
interface VersionReader {
    /** Reads a version that the fleet agreed on; its texts are files in {@code directory}. */
    Runnable readVersion(Path directory) throws IOException;

    /** Reads the member's own settings, which count before any version was agreed on. */
    Runnable readOwnSettings() throws IOException;
}
