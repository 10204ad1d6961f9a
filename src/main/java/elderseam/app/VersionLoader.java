package elderseam.app;

import elderseam.fleet.config.ConfigurationVersion;
import elderseam.fleet.config.VersionStore;
import java.io.IOException;
import java.nio.file.Path;

/** Reads versions from the member's version folder. Thread-safe. */
final class VersionLoader {
    private final VersionStore folder;
    private final VersionReader reader;

    VersionLoader(VersionStore folder, VersionReader reader) {
        this.folder = folder;
        this.reader = reader;
    }

    /**
     * Reads a version completely, on any thread. The result makes it effective, on the I/O thread.
     *
     * @throws IOException if this member can't use it
     */
    Runnable read(ConfigurationVersion version) throws IOException {
        if (version.fileContents().isEmpty()) {
            return reader.readOwnSettings();
        }
        return reader.readVersion(folder.writeFiles(version));
    }

    /** Writes the version's texts as files; the directory that they are in. */
    Path texts(ConfigurationVersion version) throws IOException {
        return folder.writeFiles(version);
    }
}
