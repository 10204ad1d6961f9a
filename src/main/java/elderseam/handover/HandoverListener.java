package elderseam.handover;

import java.io.Closeable;
import java.io.IOException;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.function.Consumer;

/**
 * Accepts {@link HandoverChannel}s from newer processes, one after the other, on a daemon thread of its own. Only the
 * holder of the {@link OwnershipLock} may open one: it replaces the socket that an earlier owner left.
 */
public final class HandoverListener implements Closeable {
    private static final String OWNER_ONLY = "rw-------";

    private final ServerSocketChannel server;

    private HandoverListener(ServerSocketChannel server) {
        this.server = server;
    }

    /**
     * Listens in the state directory.
     *
     * @param onChannel handles a channel until it has ended, on the listener's thread; the next one is accepted
     *     after that
     * @throws IOException if the socket can't be made there
     */
    public static HandoverListener open(Path stateDirectory, Consumer<HandoverChannel> onChannel) throws IOException {
        UnixDomainSocketAddress address = HandoverChannel.socketAddress(stateDirectory);
        Files.deleteIfExists(address.getPath());
        ServerSocketChannel server = ServerSocketChannel.open(StandardProtocolFamily.UNIX);
        server.bind(address);
        Files.setPosixFilePermissions(address.getPath(), PosixFilePermissions.fromString(OWNER_ONLY));
        HandoverListener listener = new HandoverListener(server);
        HandoverChannel.startThread("handover-listener", () -> listener.acceptChannels(onChannel));
        return listener;
    }

    private void acceptChannels(Consumer<HandoverChannel> onChannel) {
        try {
            while (true) {
                onChannel.accept(new HandoverChannel(server.accept()));
            }
        } catch (IOException e) {
            // Closed: another process owns the directory from now on.
        }
    }

    /** Whether it still accepts channels. */
    public boolean isOpen() {
        return server.isOpen();
    }

    /** Accepts no further channel; the one that is open stays. */
    @Override
    public void close() throws IOException {
        server.close();
    }
}
