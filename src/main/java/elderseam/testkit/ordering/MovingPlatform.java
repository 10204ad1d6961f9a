package elderseam.testkit.ordering;

import java.io.IOException;
import java.net.InetAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** The platform, which may move to another address, and the configuration file that names where it is. */
final class MovingPlatform implements AutoCloseable {
    /** An address that was left closes its connections so long after it accepts no more. */
    private static final long LEAVE_MS = 1_500;

    private final InetAddress address;
    private final OrderHistory history;
    private final TrialSurroundings surroundings;
    private final CopiedAnswers copies;
    private final Path configurationFile;
    private final Deque<RecordingPlatform> opened = new ArrayDeque<>(); // the present one last
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "moving-platform");
        thread.setDaemon(true);
        return thread;
    });
    private String list = "";

    MovingPlatform(
            InetAddress address,
            OrderHistory history,
            TrialSurroundings surroundings,
            CopiedAnswers copies,
            Path configurationFile) {
        this.address = address;
        this.history = history;
        this.surroundings = surroundings;
        this.copies = copies;
        this.configurationFile = configurationFile;
    }

    /** Opens an address, which is the present one from then on. */
    void open(SplittableRandom random) throws IOException {
        opened.add(new RecordingPlatform(
                address,
                history,
                random,
                surroundings.notificationDelayMs(),
                surroundings.refusedNotificationRatio(),
                copies));
        opened.getLast().setList(list);
    }

    /** Sets the entries of the list, and writes the configuration. */
    void setEndpoints(List<String> entries) throws IOException {
        list = "{\"version\":1,\"full\":true,\"servers\":[" + String.join(",", entries) + "]}";
        opened.getLast().setList(list);
        writeConfiguration();
    }

    /** Moves to another address: the file names it before the present one is left. */
    void move(SplittableRandom random) throws IOException {
        RecordingPlatform left = opened.getLast();
        open(random);
        writeConfiguration();
        left.stopAccepting();
        ScheduledFuture<?> unused = timer.schedule(() -> closeLeft(left), LEAVE_MS, TimeUnit.MILLISECONDS);
    }

    private static void closeLeft(RecordingPlatform platform) {
        try {
            platform.close();
        } catch (IOException e) {
            // its connections have ended
        }
    }

    /** The present address as {@code HOST:PORT}. */
    String address() {
        return opened.getLast().address();
    }

    Path configurationFile() {
        return configurationFile;
    }

    /** Replaces the file as a whole. */
    private void writeConfiguration() throws IOException {
        String settings = new String(
                        OrderTrial.class.getResourceAsStream("settings.json").readAllBytes(), StandardCharsets.UTF_8)
                .replace("\"kindApart\":[true]", "\"kindApart\":[" + (surroundings.destinations() <= 1) + "]");
        Path written = configurationFile.resolveSibling(configurationFile.getFileName() + ".new");
        Files.writeString(
                written,
                "{\"name\":\"n1\",\"seed\":\"8c1f30d27a5be964\",\"discovery\":\"" + address()
                        + "\",\"limits\":{\"sockets\":256,\"memory_mb\":64,\"disk_mb\":3},\"known\":" + list
                        + ",\"settings\":" + settings + "}");
        Files.move(written, configurationFile, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    @Override
    public void close() throws IOException {
        timer.shutdownNow();
        for (RecordingPlatform platform : new ArrayList<>(opened)) {
            platform.close();
        }
    }
}
