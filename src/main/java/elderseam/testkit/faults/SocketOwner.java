package elderseam.testkit.faults;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Which of our processes a loopback connection comes from, by the kernel's own tables (Linux's /proc): every process dials
 * the same address of a member, so that the engine's word on its members is one for all, and the link is told by who dials.
 */
final class SocketOwner {
    private SocketOwner() {}

    /** The name of the process that holds the socket from {@code localPort} to {@code remotePort}; "" where none of these does. */
    static String find(int localPort, int remotePort, Map<String, Long> pids) throws IOException {
        String inode = inode(localPort, remotePort);
        for (Map.Entry<String, Long> p : pids.entrySet()) {
            if (inode != null && holds(p.getValue(), "socket:[" + inode + "]")) {
                return p.getKey();
            }
        }
        return "";
    }

    private static String inode(int localPort, int remotePort) throws IOException {
        String local = String.format(Locale.ROOT, ":%04X", localPort);
        String remote = String.format(Locale.ROOT, ":%04X", remotePort);
        for (String table : List.of("/proc/net/tcp6", "/proc/net/tcp")) {
            if (!Files.exists(Path.of(table))) {
                continue;
            }
            for (String line : Files.readAllLines(Path.of(table))) {
                String[] word =
                        line.strip().split("\\s+"); // sl local remote state queues timer retransmits uid timeout inode
                if (word.length > 9 && word[1].endsWith(local) && word[2].endsWith(remote)) {
                    return word[9];
                }
            }
        }
        return null;
    }

    private static boolean holds(long pid, String socket) {
        try (DirectoryStream<Path> all = Files.newDirectoryStream(Path.of("/proc/" + pid + "/fd"))) {
            for (Path fd : all) {
                try {
                    if (Files.readSymbolicLink(fd).toString().equals(socket)) {
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
