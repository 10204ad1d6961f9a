package upgrades;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** A case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
abstract class Case {
    final Record record;
    final Path folder;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

    Case(Path recordFile) throws IOException {
        record = new Record(recordFile);
        folder = Files.createTempDirectory("es");
    }

    /** Plays the case; returns how the rule was broken, or nothing. */
    abstract List<String> play() throws IOException, InterruptedException;

    /** What is done however the case ends. */
    abstract void end() throws IOException;

    void run() {
        int code = 2;
        try {
            record.line("TROUBLE is %s", trouble ? "on" : "off");
            List<String> broken = play();
            end();
            broken.forEach(line -> record.line("BROKEN: %s", line));
            record.line(broken.isEmpty() ? "the rule held" : "the rule was broken %d times", broken.size());
            System.out.println(broken.isEmpty() ? "held" : "broken: " + broken.get(0) + " (" + broken.size() + ")");
            code = broken.isEmpty() ? 0 : 1;
        } catch (IOException | InterruptedException | RuntimeException e) {
            record.line("could not run: %s", e);
            System.out.println("could not run: " + e);
            try {
                end();
            } catch (IOException | RuntimeException f) {
                record.line("could not end in order: %s", f);
            }
        }
        deleteFolder();
        record.close();
        System.exit(code);
    }

    private void deleteFolder() {
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            record.line("could not delete %s", folder);
        }
    }
}
