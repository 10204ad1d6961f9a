package cases;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** Runs a case: {@code Main CLASS RECORD}. Exits with 1 if its rule was broken, 0 if it held, 2 if it could not run. */
public final class Main {
    /** A case. */
    interface Case {
        /** Returns what broke the rule, a line each; empty if it held. Throws if the case could not run. */
        List<String> run(Record record, boolean trouble, Path folder) throws Exception;
    }

    private static final int LIMIT_S = 110;

    private Main() {}

    public static void main(String[] words) throws Exception {
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> ProcessHandle.current().descendants().forEach(ProcessHandle::destroyForcibly)));
        Case named = (Case) Class.forName("cases." + words[0]).getDeclaredConstructor().newInstance();
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Files.createTempDirectory("review");
        int verdict = 2;
        try (Record record = new Record(Path.of(words[1]))) {
            endAfterLimit();
            record.line("case     %s, %s", words[0], trouble ? "with its disruption" : "without its disruption");
            try {
                List<String> broken = named.run(record, trouble, folder);
                broken.forEach(line -> record.line("BROKEN   %s", line));
                verdict = broken.isEmpty() ? 0 : 1;
            } catch (IOException | RuntimeException e) {
                record.line("could not run: %s", e);
            }
            record.line("exit     %d", verdict);
        } finally {
            delete(folder);
        }
        System.exit(verdict);
    }

    private static void endAfterLimit() {
        Http.start(() -> {
            try {
                Thread.sleep(LIMIT_S * 1_000);
            } catch (InterruptedException e) {
                return;
            }
            System.out.println("not over after " + LIMIT_S + " s");
            System.exit(2);
        });
    }

    private static void delete(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        }
    }
}
