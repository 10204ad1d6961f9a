package elderseam.testkit.faults;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * Finds which of a cluster's processes a loopback connection comes from, by Linux's /proc. Every process connects to the same
 * address of a member, since a lease group has one list of addresses; the sender alone tells which link it is.
 */
final class SocketOwner {
    private static final List<String> TCP_TABLES = List.of("/proc/net/tcp6", "/proc/net/tcp");

    /** Of a line's words: sl local remote state queues timer retransmits uid timeout inode; see proc(5). */
    private static final int LOCAL_WORD = 1;

    private static final int REMOTE_WORD = 2;
    private static final int INODE_WORD = 9;

    private SocketOwner() {}

    /** The name of the process that holds the socket from {@code localPort} to {@code remotePort}; "" where none of these does. */
    static String find(int localPort, int remotePort, Map<String, Long> pids) throws IOException {
        Optional<String> inode = inode(localPort, remotePort);
        if (inode.isEmpty()) {
            return "";
        }
        String socket = "socket:[" + inode.get() + "]";
        for (Map.Entry<String, Long> process : pids.entrySet()) {
            if (holds(process.getValue(), socket)) {
                return process.getKey();
            }
        }
        return "";
    }

    private static Optional<String> inode(int localPort, int remotePort) throws IOException {
        String local = String.format(Locale.ROOT, ":%04X", localPort);
        String remote = String.format(Locale.ROOT, ":%04X", remotePort);
        for (String table : TCP_TABLES) {
            if (!Files.exists(Path.of(table))) {
                continue;
            }
            for (String line : Files.readAllLines(Path.of(table))) {
                String[] words = line.strip().split("\\s+");
                if (words.length > INODE_WORD
                        && words[LOCAL_WORD].endsWith(local)
                        && words[REMOTE_WORD].endsWith(remote)) {
                    return Optional.of(words[INODE_WORD]);
                }
            }
        }
        return Optional.empty();
    }

    /** Whether a process has that socket open; false where it has ended. */
    private static boolean holds(long pid, String socket) {
        try (DirectoryStream<Path> descriptors = Files.newDirectoryStream(Path.of("/proc/" + pid + "/fd"))) {
            for (Path descriptor : descriptors) {
                try {
                    if (Files.readSymbolicLink(descriptor).toString().equals(socket)) {
                        return true;
                    }
                } catch (IOException e) {
                    // closed since it was listed
                }
            }
        } catch (IOException e) {
            // the process has ended
        }
        return false;
    }
}
